// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Fleets of real brains on a virtual clock: how soon all boxes keep a request out that
 * has ended three upstreams, and what they know after readers, the store or all boxes
 * were lost. Each second in which some do not know costs upstreams.
 */

import {describe, expect, it} from 'vitest';
import {FleetWorld} from './__fixtures__/fleetWorld.js';

/** Three trips: to the readers near the box, to those elsewhere, to their followers. */
const TOLD_MILLISECONDS = 50;

/** A reader that died is found silent first, and another one reads in its place. */
const OTHER_READER_MILLISECONDS = 3500;

function world(boxes: number, seed: number): FleetWorld {
  const made = new FleetWorld({boxes, dataCentres: 3, seed});
  made.run(10_000);
  return made;
}

/** The request ends the upstreams of three boxes, one after the other. */
function crashThree(fleet: FleetWorld, boxes = fleet.alive()): void {
  const third = Math.floor(boxes.length / 3);
  for (const box of [boxes[0], boxes[third], boxes[2 * third]]) {
    fleet.crash(box ?? '', 'bad');
    fleet.run(50);
  }
}

describe('a request that has ended three upstreams', () => {
  it.each([20, 60, 150])('is kept out by all of %i boxes at once', (boxes) => {
    const fleet = world(boxes, 3);
    crashThree(fleet);
    const took = fleet.runUntil(() => fleet.everyoneKeepsOut('bad'));
    expect(took).toBeLessThan(TOLD_MILLISECONDS);
    expect(fleet.everyoneKeepsOut('other')).toBe(false);
  });

  it('is not kept out after two', () => {
    const fleet = world(12, 4);
    const [first = '', second = ''] = fleet.names();
    fleet.crash(first, 'bad');
    fleet.crash(second, 'bad');
    fleet.run(5000);
    expect(fleet.everyoneKeepsOut('bad')).toBe(false);
  });

  it('is kept out soon where the readers die with it', () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const fleet = world(30, seed);
      const readers = fleet.readers();
      crashThree(
        fleet,
        fleet.names().filter((box) => !readers.includes(box)),
      );
      fleet.readersOf('d1').forEach((box) => fleet.kill(box));
      const took = fleet.runUntil(() => fleet.everyoneKeepsOut('bad'));
      expect(took).toBeLessThan(OTHER_READER_MILLISECONDS);
    }
  });

  it('is kept out at once by entries that call there, with the store away too', () => {
    const fleet = world(30, 5);
    fleet.entriesHear = true;
    fleet.storeIsDown = true;
    crashThree(fleet);
    const took = fleet.runUntil(() => fleet.everyoneKeepsOut('bad'));
    expect(took).toBeLessThan(50);
  });

  it('is still kept out after all boxes have lost their power at once', () => {
    const fleet = world(30, 6);
    crashThree(fleet);
    fleet.run(1000);
    fleet.names().forEach((box) => fleet.kill(box));
    fleet.run(1000);
    fleet.names().forEach((box) => fleet.restart(box));
    fleet.run(5000);
    expect(fleet.everyoneKeepsOut('bad')).toBe(true);
    fleet.run(600_000);
    expect(fleet.everyoneKeepsOut('bad')).toBe(true);
  });

  it('is known to a box that joins later', () => {
    const fleet = world(12, 7);
    crashThree(fleet);
    fleet.run(1000);
    fleet.addBox();
    fleet.run(5000);
    expect(fleet.everyoneKeepsOut('bad')).toBe(true);
  });
});
