// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How many offers the calls of a loaded fleet make, and how they end. */

import {WindowedRetryBudget} from '@lockpin/routing';
import {describe, expect, it} from 'vitest';
import {FleetCallSimulation} from './__fixtures__/fleetCallSimulation.js';
import type {SimulatedResult} from './__fixtures__/simulatedService.js';

const BOXES = 24;
const SLOTS = 4;
const WORK_MILLISECONDS = 469;
const GOAL_MILLISECONDS = 2234;

/** Entries know nothing of upstreams before. */
const WARM_UP_MILLISECONDS = 2000;

interface Outcome {
  readonly results: readonly SimulatedResult[];
  readonly refused: readonly SimulatedResult[];
  /** Calls that each upstream got, relative to the mean of all. */
  readonly busiest: number;
}

/** Plays 20 s at a share of the load that the upstreams can process. */
function play(seed: number, load: number): Outcome {
  const simulation = new FleetCallSimulation({
    seed,
    boxes: BOXES,
    slots: SLOTS,
    workMilliseconds: WORK_MILLISECONDS,
    callsPerSecond: (load * BOXES * SLOTS * 1000) / WORK_MILLISECONDS,
    goalMilliseconds: GOAL_MILLISECONDS,
    waitMilliseconds: 5089,
    repeatableShare: 0,
  });
  simulation.run(20_000);
  const results = simulation.results.filter(
    ({sentAt}) => sentAt > WARM_UP_MILLISECONDS,
  );
  const arrived = Array.from(
    {length: BOXES},
    (_, box) =>
      simulation.arrivals.filter(({upstream}) => upstream === box).length,
  );
  return {
    results,
    refused: results.filter(({status}) => status !== 200),
    busiest: (Math.max(...arrived) * BOXES) / simulation.arrivals.length,
  };
}

const heldFor = ({sentAt, endedAt}: SimulatedResult): number =>
  endedAt - sentAt;

function meanOffers(results: readonly SimulatedResult[]): number {
  return results.reduce((sum, {offers}) => sum + offers, 0) / results.length;
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[values.length >> 1] ?? 0;
}

describe.each([1, 2, 3])('a loaded fleet (seed %i)', (seed) => {
  it.each([0.6, 0.85, 1.3, 2])(
    'makes fewer than 1.5 offers per call at a load of %f',
    (load) => {
      const {results, busiest} = play(seed, load);
      expect(meanOffers(results)).toBeLessThan(1.5);
      expect(busiest).toBeLessThan(1.15);
    },
  );

  it('serves all calls in time while there are slots for all', () => {
    const {results, refused} = play(seed, 0.85);
    expect(refused).toEqual([]);
    const late = results.filter(
      (result) => heldFor(result) > GOAL_MILLISECONDS,
    );
    expect(late).toEqual([]);
  });

  it('refuses at once what it cannot serve, and serves as much in time as before', () => {
    const {results, refused} = play(seed, 1.3);
    expect(median(refused.map(heldFor))).toBeLessThan(100);
    const inTime = results.filter(
      (result) => result.status === 200 && heldFor(result) <= GOAL_MILLISECONDS,
    );
    expect(inTime.length / results.length).toBeGreaterThan(0.72);
  });
});

describe.each([1, 2])(
  'a service that rejects half of its calls (seed %i)',
  (seed) => {
    it('is sent the retries that are allowed, with few offers for them', () => {
      const retriesOfGuard = 8;
      const simulation = new FleetCallSimulation({
        seed,
        boxes: BOXES,
        slots: SLOTS,
        workMilliseconds: WORK_MILLISECONDS,
        callsPerSecond: 100,
        goalMilliseconds: GOAL_MILLISECONDS,
        waitMilliseconds: 5000,
        repeatableShare: 0.3,
        createRetryBudget: () =>
          new WindowedRetryBudget(() => ({
            ratio: 0.2,
            windowMilliseconds: 10_000,
            extra: retriesOfGuard,
          })),
      });
      simulation.run(10_000);
      const from = simulation.now;
      simulation.boxes.forEach((box) => (box.rejectShare = 0.5));
      simulation.run(10_000);
      const arrivals = simulation.arrivals.filter(({at}) => at >= from);
      const calls = new Set(arrivals.map(({callId}) => callId)).size;
      const allowed = 0.2 * calls + retriesOfGuard * BOXES;
      expect((arrivals.length - calls) / allowed).toBeGreaterThan(0.9);
      const results = simulation.results.filter(({sentAt}) => sentAt >= from);
      expect(meanOffers(results)).toBeLessThan(3.5);
    });
  },
);
