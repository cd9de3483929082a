// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Simulates fleets on a virtual clock: how soon all boxes quarantine a request
 * that has crashed three upstreams, and what they know after the loss of
 * readers, the store or all boxes. Each second in which some do not know costs
 * upstreams.
 */

import {describe, expect, it} from 'vitest';
import {FleetSimulation} from './__fixtures__/fleetSimulation.js';

/** Three hops: to the local readers, the remote readers and their followers. */
const PROPAGATION_MILLISECONDS = 50;

/** Time to detect a dead reader and to replace it by another. */
const READER_REPLACEMENT_MILLISECONDS = 3500;

function createFleet(boxes: number, seed: number): FleetSimulation {
  const fleet = new FleetSimulation({boxes, dataCentres: 3, seed});
  fleet.run(10_000);
  return fleet;
}

/** The request crashes the upstreams of three boxes, one after the other. */
function crashThree(fleet: FleetSimulation, boxes = fleet.alive()): void {
  const third = Math.floor(boxes.length / 3);
  for (const box of [boxes[0], boxes[third], boxes[2 * third]]) {
    fleet.crash(box ?? '', 'bad');
    fleet.run(50);
  }
}

describe('a request that has crashed three upstreams', () => {
  it.each([20, 60, 150])('is kept out by all of %i boxes at once', (boxes) => {
    const fleet = createFleet(boxes, 3);
    crashThree(fleet);
    const elapsed = fleet.runUntil(() => fleet.isQuarantinedEverywhere('bad'));
    expect(elapsed).toBeLessThan(PROPAGATION_MILLISECONDS);
    expect(fleet.isQuarantinedEverywhere('other')).toBe(false);
  });

  it('is not kept out after two crashes', () => {
    const fleet = createFleet(12, 4);
    const [first = '', second = ''] = fleet.boxNames();
    fleet.crash(first, 'bad');
    fleet.crash(second, 'bad');
    fleet.run(5000);
    expect(fleet.isQuarantinedEverywhere('bad')).toBe(false);
  });

  it('is kept out soon where the readers die with it', () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const fleet = createFleet(30, seed);
      const readers = fleet.readers();
      crashThree(
        fleet,
        fleet.boxNames().filter((box) => !readers.includes(box)),
      );
      fleet.readersOf('d1').forEach((box) => fleet.kill(box));
      const elapsed = fleet.runUntil(() =>
        fleet.isQuarantinedEverywhere('bad'),
      );
      expect(elapsed).toBeLessThan(READER_REPLACEMENT_MILLISECONDS);
    }
  });

  it('is kept out at once by connected entries, even while the store is down', () => {
    const fleet = createFleet(30, 5);
    fleet.areEntriesConnected = true;
    fleet.isStoreDown = true;
    crashThree(fleet);
    const elapsed = fleet.runUntil(() => fleet.isQuarantinedEverywhere('bad'));
    expect(elapsed).toBeLessThan(50);
  });

  it('is still kept out after all boxes have lost their power at once', () => {
    const fleet = createFleet(30, 6);
    crashThree(fleet);
    fleet.run(1000);
    fleet.boxNames().forEach((box) => fleet.kill(box));
    fleet.run(1000);
    fleet.boxNames().forEach((box) => fleet.restart(box));
    fleet.run(5000);
    expect(fleet.isQuarantinedEverywhere('bad')).toBe(true);
    fleet.run(600_000);
    expect(fleet.isQuarantinedEverywhere('bad')).toBe(true);
  });

  it('is known to a box that joins later', () => {
    const fleet = createFleet(12, 7);
    crashThree(fleet);
    fleet.run(1000);
    fleet.addBox();
    fleet.run(5000);
    expect(fleet.isQuarantinedEverywhere('bad')).toBe(true);
  });
});
