// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Simulates whole fleets on a virtual clock whose store is restored from a
 * backup some seconds old: records confirmed since are lost, and their offsets
 * are reused. Operators repeat lost changes; boxes have to rewrite their own
 * records.
 */

import {describe, expect, it} from 'vitest';
import type {RandomSource} from '@lockpin/types';
import {seededRandom} from '@lockpin/utils';
import {FleetSimulation} from './__fixtures__/fleetSimulation.js';

/** A confirmed change is in force everywhere within this time. */
const CONFIGURATION_MILLISECONDS = 2000;

/** The store has the record of each box again within this time. */
const RECORD_MILLISECONDS = 4000;

const SIZES = [
  {boxes: 8, dataCentres: 1},
  {boxes: 21, dataCentres: 3},
] as const;

type Size = (typeof SIZES)[number];

const SEEDS = Array.from({length: 15}, (_, i) => i + 1);

/** A fleet that has run for 10 to 18 s, depending on the seed. */
function createFleet(size: Size, seed: number): FleetSimulation {
  const fleet = new FleetSimulation({...size, seed});
  fleet.run(10_000 + seededRandom(seed)() * 8000);
  return fleet;
}

describe('a change that is confirmed after the store was restored', () => {
  /*
   * After the restore, operators write more, as many or fewer changes than were
   * lost: the offsets from which nodes continue reading are below, at or above
   * the new end.
   */
  it.each(SIZES)(
    'is everywhere in time, whichever offsets are given out again: $boxes boxes',
    (size) => {
      const late: unknown[] = [];
      for (const seed of SEEDS) {
        for (const changes of [1, 3, 4, 6]) {
          const fleet = createFleet(size, seed);
          for (let version = 2; version < 6; version += 1) {
            fleet.publish(version);
            fleet.run(300);
          }
          fleet.restoreStore(1100);
          for (let i = 0; i < changes; i += 1) {
            fleet.publish(6 + i);
            fleet.run(10);
          }
          const newest = 5 + changes;
          const elapsed = fleet.runUntil(
            () => fleet.commonVersion() === newest,
          );
          if (elapsed > CONFIGURATION_MILLISECONDS) {
            late.push({seed, changes, elapsed});
          }
        }
      }
      expect(late).toEqual([]);
    },
  );
});

describe('the box records that a restored store has lost', () => {
  it.each(SIZES)(
    'are written again by the boxes, each once: $boxes boxes',
    (size) => {
      for (const seed of SEEDS) {
        const fleet = createFleet(size, seed);
        const [first = '', second = ''] = fleet.boxNames();
        fleet.drain(first);
        fleet.addBox();
        fleet.run(2500);
        expect(fleet.isEveryBoxStored()).toBe(true);
        fleet.restoreStore(2600);
        expect(fleet.isEveryBoxStored()).toBe(false);
        const before = fleet.storedCount('boxes');
        fleet.drain(second);
        const elapsed = fleet.runUntil(() => fleet.isEveryBoxStored());
        expect(elapsed).toBeLessThan(RECORD_MILLISECONDS);
        fleet.run(20_000);
        // The two drained boxes and the new one.
        expect(fleet.storedCount('boxes') - before).toBe(3);
      }
    },
  );

  it('are written again by all boxes where all are lost, not all at once', () => {
    const size = {boxes: 60, dataCentres: 3};
    const fleet = new FleetSimulation({...size, seed: 3});
    fleet.run(4000);
    fleet.restoreStore(4000);
    expect(fleet.storedCount('boxes')).toBe(0);
    let maximum = 0;
    for (let i = 0; i < 40; i += 1) {
      const before = fleet.storedCount('boxes');
      fleet.run(100);
      maximum = Math.max(maximum, fleet.storedCount('boxes') - before);
    }
    expect(fleet.isEveryBoxStored()).toBe(true);
    expect(fleet.storedCount('boxes')).toBe(size.boxes);
    expect(maximum).toBeLessThan(size.boxes / 2);
  });
});

describe('a request that crashed three upstreams', () => {
  /*
   * Quarantines rely on the reports in box records, so that they survive the
   * restart of all boxes. A dead box cannot rewrite its own record.
   */
  it('is kept out after a restore, the death of one box and the restart of all', () => {
    for (const seed of SEEDS) {
      const fleet = createFleet({boxes: 21, dataCentres: 3}, seed);
      const [first = '', second = '', third = ''] = fleet.boxNames();
      for (const box of [first, second, third]) {
        fleet.crash(box, 'deadly');
        fleet.run(500);
      }
      expect(fleet.isQuarantinedEverywhere('deadly')).toBe(true);
      fleet.kill(second);
      fleet.restoreStore(2000);
      fleet.run(20_000);
      fleet.boxNames().forEach((box) => fleet.kill(box));
      fleet.run(1000);
      fleet.boxNames().forEach((box) => box === second || fleet.restart(box));
      fleet.run(5000);
      expect(fleet.isQuarantinedEverywhere('deadly')).toBe(true);
    }
  });
});

describe('a node that starts while the store has an older configuration', () => {
  it('asks its peers before it serves by that', () => {
    for (const seed of SEEDS) {
      const fleet = createFleet({boxes: 21, dataCentres: 3}, seed);
      fleet.publish(2);
      fleet.run(1000);
      fleet.restoreStore(1100);
      const names = fleet.boxNames();
      const box = names[seed % names.length] ?? '';
      fleet.kill(box);
      fleet.restart(box);
      fleet.addBox();
      fleet.run(3000);
      expect(fleet.commonVersion()).toBe(2);
      expect(fleet.olderInForce).toEqual([]);
    }
  });

  it('uses that configuration if it reaches no peer', () => {
    const fleet = createFleet({boxes: 6, dataCentres: 1}, 1);
    fleet.publish(2);
    fleet.run(1000);
    fleet.restoreStore(1100);
    const [box = ''] = fleet.boxNames();
    fleet.kill(box);
    fleet.dropPackets(box, 'outgoing');
    fleet.restart(box);
    expect(fleet.runUntil(() => fleet.commonVersion([box]) === 1)).toBeLessThan(
      CONFIGURATION_MILLISECONDS,
    );
  });
});

/** Injects one fault, change or store restore, chosen at random. */
function injectFault(fleet: FleetSimulation, random: RandomSource): void {
  const names = fleet.boxNames();
  const box = names[Math.floor(random() * names.length)] ?? '';
  const faults = [
    () => fleet.restoreStore(random() * 4000),
    () => fleet.restoreStore(random() * 4000),
    () => fleet.hangStore(),
    () => fleet.resumeStore(),
    () => fleet.kill(box),
    () => fleet.isUp(box) || fleet.restart(box),
    () => fleet.dropPackets(box, 'incoming'),
    () => fleet.dropPackets(box, 'outgoing'),
    () => fleet.refuseStoreCalls(box),
    () => fleet.addBox(),
    () => fleet.isStored(box) && fleet.drain(box),
  ];
  faults[Math.floor(random() * faults.length)]?.();
}

/** Milliseconds until a fleet converges after a period of random faults. */
function convergenceAfterFaults(seed: number) {
  const random = seededRandom(seed);
  const fleet = new FleetSimulation({boxes: 18, dataCentres: 3, seed});
  fleet.run(5000);
  let version = 1;
  for (let i = 0; i < 25; i += 1) {
    injectFault(fleet, random);
    if (random() < 0.3) {
      version += 1;
      fleet.publish(version);
    }
    fleet.run(random() * 800);
  }
  fleet.heal();
  // Operators repeat the change that may be lost.
  fleet.publish(version);
  const inForce = fleet.runUntil(() => fleet.commonVersion() === version);
  const boxes = fleet.boxNames().length;
  const known = fleet.runUntil(() => fleet.isEveryBoxKnown(boxes));
  const stored = fleet.runUntil(() => fleet.isEveryBoxStored());
  return {inForce, known, stored};
}

describe('a fleet under random faults and store restores', () => {
  it('agrees soon after it is over, and the store has everyone', () => {
    const late = Array.from({length: 20}, (_, i) => i + 1)
      .map((seed) => ({seed, ...convergenceAfterFaults(seed)}))
      .filter(
        ({inForce, known, stored}) =>
          inForce > 2 * CONFIGURATION_MILLISECONDS ||
          known > 8000 ||
          stored > 8000,
      );
    expect(late).toEqual([]);
  });
});
