// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Whole fleets of real brains on a virtual clock, whose store comes back from a copy that
 * is some seconds old: what it confirmed since is gone, and its offsets are given out
 * again. Operators write again what was lost; boxes have to do so themselves.
 */

import {describe, expect, it} from 'vitest';
import type {RandomSource} from '@lockpin/types';
import {seededRandom} from '@lockpin/utils';
import {FleetWorld} from './__fixtures__/fleetWorld.js';

/** A confirmed change is in force everywhere in this time. */
const CONFIGURATION_MILLISECONDS = 2000;

/** A box states itself in time for others to find it. */
const STATEMENT_MILLISECONDS = 4000;

const SIZES = [
  {boxes: 8, dataCentres: 1},
  {boxes: 21, dataCentres: 3},
] as const;

type Size = (typeof SIZES)[number];

const SEEDS = Array.from({length: 15}, (_, i) => i + 1);

/** A fleet that has run for a while, not the same for each seed. */
function calmFleet(size: Size, seed: number): FleetWorld {
  const world = new FleetWorld({...size, seed});
  world.run(10_000 + seededRandom(seed)() * 8000);
  return world;
}

describe('a change that is confirmed after the store was restored', () => {
  /*
   * What it is for: operators write less often after the restore than before it, or as
   * often, or more. Offsets that nodes read on from are below, at or above the new end.
   */
  it.each(SIZES)(
    'is everywhere in time, whichever offsets are given out again: $boxes boxes',
    (size) => {
      const late: unknown[] = [];
      for (const seed of SEEDS) {
        for (const again of [1, 3, 4, 6]) {
          const world = calmFleet(size, seed);
          for (let version = 2; version < 6; version += 1) {
            world.publish(version);
            world.run(300);
          }
          world.restoreStore(1100);
          for (let i = 0; i < again; i += 1) {
            world.publish(6 + i);
            world.run(10);
          }
          const newest = 5 + again;
          const took = world.runUntil(() => world.versions() === newest);
          if (took > CONFIGURATION_MILLISECONDS) {
            late.push({seed, again, took});
          }
        }
      }
      expect(late).toEqual([]);
    },
  );
});

describe('the statements of boxes that a restored store has lost', () => {
  it.each(SIZES)(
    'are written again by the boxes, each once: $boxes boxes',
    (size) => {
      for (const seed of SEEDS) {
        const world = calmFleet(size, seed);
        const [first = '', second = ''] = world.names();
        world.drain(first);
        world.addBox();
        world.run(2500);
        expect(world.everyoneIsStored()).toBe(true);
        world.restoreStore(2600);
        expect(world.everyoneIsStored()).toBe(false);
        const before = world.storedCount('boxes');
        world.drain(second);
        const took = world.runUntil(() => world.everyoneIsStored());
        expect(took).toBeLessThan(STATEMENT_MILLISECONDS);
        world.run(20_000);
        // The drained ones and the new one.
        expect(world.storedCount('boxes') - before).toBe(3);
      }
    },
  );

  it('are written again by all boxes where all are lost, not all at once', () => {
    const size = {boxes: 60, dataCentres: 3};
    const world = new FleetWorld({...size, seed: 3});
    world.run(4000);
    world.restoreStore(4000);
    expect(world.storedCount('boxes')).toBe(0);
    let most = 0;
    for (let i = 0; i < 40; i += 1) {
      const before = world.storedCount('boxes');
      world.run(100);
      most = Math.max(most, world.storedCount('boxes') - before);
    }
    expect(world.everyoneIsStored()).toBe(true);
    expect(world.storedCount('boxes')).toBe(size.boxes);
    expect(most).toBeLessThan(size.boxes / 2);
  });
});

describe('a request that ended three upstreams', () => {
  /*
   * The promise hangs on reports in the records of boxes, so that it outlives all boxes.
   * A box that has died cannot write its own again.
   */
  it('is kept out after a restore, the death of one box and the restart of all', () => {
    for (const seed of SEEDS) {
      const world = calmFleet({boxes: 21, dataCentres: 3}, seed);
      const [first = '', second = '', third = ''] = world.names();
      for (const box of [first, second, third]) {
        world.crash(box, 'deadly');
        world.run(500);
      }
      expect(world.everyoneKeepsOut('deadly')).toBe(true);
      world.kill(second);
      world.restoreStore(2000);
      world.run(20_000);
      world.names().forEach((box) => world.kill(box));
      world.run(1000);
      world.names().forEach((box) => box === second || world.restart(box));
      world.run(5000);
      expect(world.everyoneKeepsOut('deadly')).toBe(true);
    }
  });
});

describe('a node that starts while the store has an older configuration', () => {
  it('asks its peers before it serves by that', () => {
    for (const seed of SEEDS) {
      const world = calmFleet({boxes: 21, dataCentres: 3}, seed);
      world.publish(2);
      world.run(1000);
      world.restoreStore(1100);
      const names = world.names();
      const box = names[seed % names.length] ?? '';
      world.kill(box);
      world.restart(box);
      world.addBox();
      world.run(3000);
      expect(world.versions()).toBe(2);
      expect(world.olderInForce).toEqual([]);
    }
  });

  it('serves by it where it reaches no peer', () => {
    const world = calmFleet({boxes: 6, dataCentres: 1}, 1);
    world.publish(2);
    world.run(1000);
    world.restoreStore(1100);
    const [box = ''] = world.names();
    world.kill(box);
    world.cut(box, 'outgoing');
    world.restart(box);
    expect(world.runUntil(() => world.versions([box]) === 1)).toBeLessThan(
      CONFIGURATION_MILLISECONDS,
    );
  });
});

/** Does one thing to a fleet whose store is restored again and again. */
function disturb(world: FleetWorld, random: RandomSource): void {
  const names = world.names();
  const box = names[Math.floor(random() * names.length)] ?? '';
  const faults = [
    () => world.restoreStore(random() * 4000),
    () => world.restoreStore(random() * 4000),
    () => world.silenceStore(),
    () => world.letStoreSpeak(),
    () => world.kill(box),
    () => world.isUp(box) || world.restart(box),
    () => world.cut(box, 'incoming'),
    () => world.cut(box, 'outgoing'),
    () => world.turnAway(box),
    () => world.addBox(),
    () => world.isStored(box) && world.drain(box),
  ];
  faults[Math.floor(random() * faults.length)]?.();
}

/** Milliseconds until a fleet agrees again after a time of all kinds of faults. */
function agreementAfterFaults(seed: number) {
  const random = seededRandom(seed);
  const world = new FleetWorld({boxes: 18, dataCentres: 3, seed});
  world.run(5000);
  let version = 1;
  for (let i = 0; i < 25; i += 1) {
    disturb(world, random);
    if (random() < 0.3) {
      version += 1;
      world.publish(version);
    }
    world.run(random() * 800);
  }
  world.heal();
  // Operators write again what was lost.
  world.publish(version);
  const inForce = world.runUntil(() => world.versions() === version);
  const boxes = world.names().length;
  const known = world.runUntil(() => world.everyoneKnows(boxes));
  const stored = world.runUntil(() => world.everyoneIsStored());
  return {inForce, known, stored};
}

describe('a fleet to which anything happens while its store is restored', () => {
  it('agrees soon after it is over, and the store has everyone', () => {
    const late = Array.from({length: 20}, (_, i) => i + 1)
      .map((seed) => ({seed, ...agreementAfterFaults(seed)}))
      .filter(
        ({inForce, known, stored}) =>
          inForce > 2 * CONFIGURATION_MILLISECONDS ||
          known > 8000 ||
          stored > 8000,
      );
    expect(late).toEqual([]);
  });
});
