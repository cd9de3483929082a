// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Simulates fleets on a virtual clock: how soon all boxes know that an operator
 * has lifted a quarantine, on whichever box, and that the lift is permanent.
 */

import {describe, expect, it} from 'vitest';
import {FleetSimulation} from './__fixtures__/fleetSimulation.js';

/** A change of the configuration is in force on all boxes within this time. */
const IN_FORCE_MILLISECONDS = 2000;

/** A box that was unreachable receives missed updates within this time. */
const CATCH_UP_MILLISECONDS = 16_000;

/** Indexes of the boxes whose upstreams crash. */
const CRASHED_BOXES = [0, 11, 22] as const;

/** A fleet that quarantines a request. */
function createFleet(seed: number, boxes = 30): FleetSimulation {
  const fleet = new FleetSimulation({boxes, dataCentres: 3, seed});
  fleet.run(10_000);
  const names = fleet.boxNames();
  for (const i of CRASHED_BOXES) {
    fleet.crash(names[i] ?? '', 'bad');
    fleet.run(50);
  }
  fleet.run(1000);
  expect(fleet.isQuarantinedEverywhere('bad')).toBe(true);
  return fleet;
}

function untilLifted(fleet: FleetSimulation): number {
  return fleet.runUntil(() => fleet.isQuarantinedNowhere('bad'));
}

function findBox(fleet: FleetSimulation, isReader: boolean): string {
  return fleet.alive().find((box) => fleet.isReader(box) === isReader) ?? '';
}

describe('a quarantine that an operator lifts', () => {
  it.each([true, false])(
    'is lifted on all boxes (by a reader: %s)',
    (isReader) => {
      for (let seed = 1; seed <= 10; seed += 1) {
        const fleet = createFleet(seed);
        fleet.lift(findBox(fleet, isReader), 'bad');
        expect(untilLifted(fleet)).toBeLessThan(IN_FORCE_MILLISECONDS);
      }
    },
  );

  it('is lifted while the store is down, and where it refuses boxes', () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const fleet = createFleet(seed);
      const refused = fleet.readersOf('d1');
      refused.forEach((box) => fleet.refuseStoreCalls(box));
      fleet.isStoreDown = seed % 2 === 0;
      fleet.lift(findBox(fleet, false), 'bad');
      expect(untilLifted(fleet)).toBeLessThan(IN_FORCE_MILLISECONDS);
    }
  });

  it.each(['incoming', 'outgoing'] as const)(
    'is lifted on boxes that lost packets (%s) once none are lost',
    (direction) => {
      for (let seed = 1; seed <= 10; seed += 1) {
        const fleet = createFleet(seed);
        const cut = fleet.alive().filter((_, i) => i % 7 === 3);
        cut.forEach((box) => fleet.dropPackets(box, direction));
        const liftingBox =
          fleet.alive().find((box) => !cut.includes(box)) ?? '';
        fleet.lift(liftingBox, 'bad');
        fleet.run(5000);
        fleet.heal();
        expect(untilLifted(fleet)).toBeLessThan(CATCH_UP_MILLISECONDS);
      }
    },
  );

  it('stays lifted when all boxes lose their power, and for a box that joins', () => {
    const fleet = createFleet(5);
    fleet.lift(findBox(fleet, false), 'bad');
    fleet.run(2000);
    fleet.boxNames().forEach((box) => fleet.kill(box));
    fleet.run(1000);
    fleet.boxNames().forEach((box) => fleet.restart(box));
    fleet.run(5000);
    fleet.addBox();
    fleet.run(5000);
    expect(fleet.isQuarantinedNowhere('bad')).toBe(true);
  });

  it('stays lifted when the box where it was lifted is gone permanently', () => {
    const fleet = createFleet(6);
    const liftingBox = fleet.boxNames()[5] ?? '';
    fleet.lift(liftingBox, 'bad');
    fleet.run(2000);
    fleet.kill(liftingBox);
    fleet.run(1_000_000);
    fleet.addBox();
    fleet.run(5000);
    expect(fleet.isQuarantinedNowhere('bad')).toBe(true);
  });

  it('is back once three more upstreams have crashed', () => {
    const fleet = createFleet(7);
    fleet.lift(findBox(fleet, false), 'bad');
    fleet.run(2000);
    const [first = '', second = '', third = ''] = fleet.boxNames();
    [first, second, third].forEach((box) => fleet.crash(box, 'bad'));
    fleet.run(1000);
    expect(fleet.isQuarantinedEverywhere('bad')).toBe(true);
  });
});

describe('a new version of the program of a service', () => {
  it('ends the quarantine on all boxes once all upstreams run it', () => {
    const fleet = createFleet(8);
    const [last = '', ...others] = fleet.boxNames();
    others.forEach((box) => fleet.upgrade(box, 'v2'));
    fleet.run(10_000);
    expect(fleet.isQuarantinedEverywhere('bad')).toBe(true);
    fleet.upgrade(last, 'v2');
    fleet.run(10_000);
    expect(fleet.isQuarantinedNowhere('bad')).toBe(true);
    fleet.crash(last, 'bad');
    fleet.run(1000);
    expect(fleet.isQuarantinedEverywhere('bad')).toBe(true);
  });
});

describe('a lift that a restored store has lost', () => {
  it('is written again, also for a box that is gone, and survives a full restart', () => {
    const fleet = createFleet(9);
    const liftingBox = fleet.boxNames()[5] ?? '';
    fleet.run(20_000);
    fleet.lift(liftingBox, 'bad');
    fleet.run(1000);
    fleet.kill(liftingBox);
    CRASHED_BOXES.forEach((i) => fleet.kill(fleet.boxNames()[i] ?? ''));
    fleet.restoreStore(3000);
    fleet.run(30_000);
    const alive = fleet.alive();
    alive.forEach((box) => fleet.kill(box));
    fleet.run(1000);
    alive.forEach((box) => fleet.restart(box));
    fleet.run(10_000);
    expect(fleet.isQuarantinedNowhere('bad')).toBe(true);
  });
});
