// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Fleets of real brains on a virtual clock: how soon all boxes know that an operator has
 * lifted a quarantine, wherever the lift was told, and that it holds for good.
 */

import {describe, expect, it} from 'vitest';
import {FleetWorld} from './__fixtures__/fleetWorld.js';

/** A change of the configuration is in force on all boxes within this. */
const IN_FORCE_MILLISECONDS = 2000;

/** A box that could not be reached is told of what it missed within this. */
const HEALED_MILLISECONDS = 16_000;

/** Places of the boxes whose upstreams ended. */
const CRASHED = [0, 11, 22] as const;

/** A fleet that keeps a request out. */
function world(seed: number, boxes = 30): FleetWorld {
  const fleet = new FleetWorld({boxes, dataCentres: 3, seed});
  fleet.run(10_000);
  const names = fleet.names();
  for (const i of CRASHED) {
    fleet.crash(names[i] ?? '', 'bad');
    fleet.run(50);
  }
  fleet.run(1000);
  expect(fleet.everyoneKeepsOut('bad')).toBe(true);
  return fleet;
}

function untilLifted(fleet: FleetWorld): number {
  return fleet.runUntil(() => fleet.nobodyKeepsOut('bad'));
}

function boxOf(fleet: FleetWorld, isReader: boolean): string {
  return fleet.alive().find((box) => fleet.isReader(box) === isReader) ?? '';
}

describe('a quarantine that an operator lifts', () => {
  it.each([true, false])('is lifted on all boxes (by a reader: %s)', (is) => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const fleet = world(seed);
      fleet.lift(boxOf(fleet, is), 'bad');
      expect(untilLifted(fleet)).toBeLessThan(IN_FORCE_MILLISECONDS);
    }
  });

  it('is lifted while the store is away, and where it turns boxes away', () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const fleet = world(seed);
      const turnedAway = fleet.readersOf('d1');
      turnedAway.forEach((box) => fleet.turnAway(box));
      fleet.storeIsDown = seed % 2 === 0;
      fleet.lift(boxOf(fleet, false), 'bad');
      expect(untilLifted(fleet)).toBeLessThan(IN_FORCE_MILLISECONDS);
    }
  });

  it.each(['incoming', 'outgoing'] as const)(
    'is lifted on boxes behind a cut (%s) once that is over',
    (direction) => {
      for (let seed = 1; seed <= 10; seed += 1) {
        const fleet = world(seed);
        const cut = fleet.alive().filter((_, i) => i % 7 === 3);
        cut.forEach((box) => fleet.cut(box, direction));
        const lifter = fleet.alive().find((box) => !cut.includes(box)) ?? '';
        fleet.lift(lifter, 'bad');
        fleet.run(5000);
        fleet.heal();
        expect(untilLifted(fleet)).toBeLessThan(HEALED_MILLISECONDS);
      }
    },
  );

  it('stays lifted when all boxes lose their power, and for who joins', () => {
    const fleet = world(5);
    fleet.lift(boxOf(fleet, false), 'bad');
    fleet.run(2000);
    fleet.names().forEach((box) => fleet.kill(box));
    fleet.run(1000);
    fleet.names().forEach((box) => fleet.restart(box));
    fleet.run(5000);
    fleet.addBox();
    fleet.run(5000);
    expect(fleet.nobodyKeepsOut('bad')).toBe(true);
  });

  it('stays lifted when the box that was told is gone for good', () => {
    const fleet = world(6);
    const lifter = fleet.names()[5] ?? '';
    fleet.lift(lifter, 'bad');
    fleet.run(2000);
    fleet.kill(lifter);
    fleet.run(1_000_000);
    fleet.addBox();
    fleet.run(5000);
    expect(fleet.nobodyKeepsOut('bad')).toBe(true);
  });

  it('is back once three more upstreams have ended', () => {
    const fleet = world(7);
    fleet.lift(boxOf(fleet, false), 'bad');
    fleet.run(2000);
    const [first = '', second = '', third = ''] = fleet.names();
    [first, second, third].forEach((box) => fleet.crash(box, 'bad'));
    fleet.run(1000);
    expect(fleet.everyoneKeepsOut('bad')).toBe(true);
  });
});

describe('a new version of the program of a service', () => {
  it('ends the quarantine on all boxes once all upstreams run it', () => {
    const fleet = world(8);
    const [last = '', ...others] = fleet.names();
    others.forEach((box) => fleet.upgrade(box, 'v2'));
    fleet.run(10_000);
    expect(fleet.everyoneKeepsOut('bad')).toBe(true);
    fleet.upgrade(last, 'v2');
    fleet.run(10_000);
    expect(fleet.nobodyKeepsOut('bad')).toBe(true);
    fleet.crash(last, 'bad');
    fleet.run(1000);
    expect(fleet.everyoneKeepsOut('bad')).toBe(true);
  });
});

describe('a lift that a restored store has lost', () => {
  it('is written again, also for a box that is gone, and outlives all boxes', () => {
    const fleet = world(9);
    const lifter = fleet.names()[5] ?? '';
    fleet.run(20_000);
    fleet.lift(lifter, 'bad');
    fleet.run(1000);
    fleet.kill(lifter);
    CRASHED.forEach((i) => fleet.kill(fleet.names()[i] ?? ''));
    fleet.restoreStore(3000);
    fleet.run(30_000);
    const alive = fleet.alive();
    alive.forEach((box) => fleet.kill(box));
    fleet.run(1000);
    alive.forEach((box) => fleet.restart(box));
    fleet.run(10_000);
    expect(fleet.nobodyKeepsOut('bad')).toBe(true);
  });
});
