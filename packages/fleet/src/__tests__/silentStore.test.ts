// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * What callers saw: a request whose route an operator had taken away was run, 2.5 s
 * after the store had confirmed the change.
 *
 * Order of events: the store said nothing for 8 s, to anybody. Then it took the five
 * changes that operators had kept trying to write, within 250 ms. Two boxes still went by
 * the configuration from before the silence 2.5 s later, with all connections between
 * boxes sound.
 *
 * Cause: what is sent into a silence is never answered, and a long poll was given up only
 * after its wait of up to 9 s and 1.5 s more. All nodes that read the store hung in such
 * polls when it spoke again, so that for seconds nobody made a call that could be answered.
 *
 * Evidence: on a day of that kind 2 of 21 boxes had a call answered in the store's first
 * second back, and the last reader 6 s later; after a silence in which the store refused
 * calls, 14 had. In these fleets the time until the first node knows was up to 5 s, and the
 * way from there to all others under 1.1 s.
 *
 * Whole fleets of real brains on a virtual clock, with a store that never answers what
 * was on its way to it while it was silent.
 */

import {describe, expect, it} from 'vitest';
import {seededRandom} from '@lockpin/utils';
import {FleetWorld} from './__fixtures__/fleetWorld.js';

/** A confirmed change is in force everywhere in this time. */
const CONFIGURATION_MILLISECONDS = 2000;

const SILENCES_MILLISECONDS = [2000, 5000, 8000];

const SEEDS = Array.from({length: 20}, (_, i) => i + 1);

/** Changes that wait for the store are confirmed one after the other. */
const CHANGES = 5;
const BETWEEN_CHANGES_MILLISECONDS = 62;

interface Fleet {
  readonly boxes: number;
  readonly dataCentres: number;
}

/** Milliseconds from the last confirmed change until it is in force everywhere. */
function spreadAfter(fleet: Fleet, silence: number, seed: number): number {
  const random = seededRandom(seed);
  const world = new FleetWorld({...fleet, seed});
  world.run(10_000 + random() * 8000);
  world.silenceStore();
  world.run(silence);
  world.letStoreSpeak();
  world.run(random() * 500);
  for (let version = 2; version < 2 + CHANGES; version += 1) {
    world.publish(version);
    world.run(BETWEEN_CHANGES_MILLISECONDS);
  }
  const newest = 1 + CHANGES;
  const took = world.runUntil(() => world.versions() === newest);
  return BETWEEN_CHANGES_MILLISECONDS + took;
}

describe('a change that is confirmed after the store was silent', () => {
  it.each<Fleet>([
    {boxes: 6, dataCentres: 1},
    {boxes: 21, dataCentres: 3},
    {boxes: 31, dataCentres: 4},
    {boxes: 40, dataCentres: 5},
  ])(
    'is everywhere in time: $boxes boxes in $dataCentres data centres',
    (fleet) => {
      const late = SILENCES_MILLISECONDS.flatMap((silence) =>
        SEEDS.map((seed) => ({
          silence,
          seed,
          milliseconds: spreadAfter(fleet, silence, seed),
        })),
      ).filter(({milliseconds}) => milliseconds > CONFIGURATION_MILLISECONDS);
      expect(late).toEqual([]);
    },
  );
});
