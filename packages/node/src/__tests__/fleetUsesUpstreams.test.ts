// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which upstreams all entries and guards of a service together use. */

import {describe, expect, it} from 'vitest';
import {FleetCallSimulation} from './__fixtures__/fleetCallSimulation.js';
import type {SimulationOptions} from './__fixtures__/simulatedService.js';

const BOXES = 23;
const BOX_INDEXES = Array.from({length: BOXES}, (_, box) => box);
const SEEDS = [1, 2, 3, 4, 5];

/** Most healthy upstreams get a call within this time. */
const WINDOW_MILLISECONDS = 2000;

/** Share of the healthy upstreams that get a call in each window. */
const MINIMUM_USED_SHARE = 0.7;

/** An upstream that failed by itself is healthy again after this time. */
const RECOVERY_MILLISECONDS = 2000;

const STEP_MILLISECONDS = 100;

const COLD_MILLISECONDS = 3000;

const WARM_UP_MILLISECONDS = 10_000;

function createSimulation(
  seed: number,
  callsPerSecond: number,
  change: Partial<SimulationOptions> = {},
): FleetCallSimulation {
  return new FleetCallSimulation({
    seed,
    boxes: BOXES,
    slots: 3,
    workMilliseconds: 280,
    callsPerSecond,
    goalMilliseconds: 800,
    waitMilliseconds: 2000,
    repeatableShare: 0.2,
    ...change,
  });
}

/**
 * Runs a simulation on; returns the smallest share of some upstreams that got a
 * call in any window of that time.
 */
function minimumUsedShare(
  simulation: FleetCallSimulation,
  upstreams: readonly number[],
  milliseconds: number,
): number {
  const from = simulation.now;
  simulation.run(milliseconds);
  const {arrivals, now: until} = simulation;
  let minimum = 1;
  for (
    let start = from;
    start + WINDOW_MILLISECONDS <= until;
    start += STEP_MILLISECONDS
  ) {
    const end = start + WINDOW_MILLISECONDS;
    const used = new Set(
      arrivals
        .filter(({at}) => at >= start && at < end)
        .map(({upstream}) => upstream),
    );
    const usedCount = upstreams.filter((box) => used.has(box)).length;
    minimum = Math.min(minimum, usedCount / upstreams.length);
  }
  return minimum;
}

describe.each(SEEDS)('the upstreams of a service (seed %i)', (seed) => {
  it.each([60, 90, 120, 150])(
    'are in use while cold, if they have just joined (%i calls a second)',
    (callsPerSecond) => {
      const simulation = createSimulation(seed, callsPerSecond, {
        boxesWithCallers: 16,
      });
      const joining = BOX_INDEXES.slice(16);
      simulation.remove(joining);
      simulation.run(WARM_UP_MILLISECONDS);
      simulation.join(joining, COLD_MILLISECONDS);
      const share = minimumUsedShare(simulation, joining, 8000);
      expect(share).toBeGreaterThanOrEqual(MINIMUM_USED_SHARE);
    },
  );

  it.each([0, 0.2, 0.5])(
    'are in use again soon after all their calls in flight broke at once (%f repeatable)',
    (repeatableShare) => {
      const simulation = createSimulation(seed, 90, {repeatableShare});
      simulation.run(WARM_UP_MILLISECONDS);
      BOX_INDEXES.forEach((box) => simulation.resetConnections(box));
      simulation.run(RECOVERY_MILLISECONDS);
      const share = minimumUsedShare(simulation, BOX_INDEXES, 10_000);
      expect(share).toBeGreaterThanOrEqual(MINIMUM_USED_SHARE);
    },
  );

  it.each([0, 0.2])(
    'are in use again soon after half of them reset most calls for 5 s (%f repeatable)',
    (repeatableShare) => {
      const simulation = createSimulation(seed, 90, {repeatableShare});
      const failing = BOX_INDEXES.slice(0, 12);
      simulation.run(WARM_UP_MILLISECONDS);
      failing.forEach((box) => simulation.resetCalls(box, 0.75));
      simulation.run(5000);
      failing.forEach((box) => simulation.resetCalls(box, 0));
      simulation.run(RECOVERY_MILLISECONDS);
      const share = minimumUsedShare(simulation, failing, 10_000);
      expect(share).toBeGreaterThanOrEqual(MINIMUM_USED_SHARE);
    },
  );
});
