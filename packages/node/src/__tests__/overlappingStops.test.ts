// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a service serves while most of its nodes stop at the same time. */

import {seededRandom} from '@lockpin/utils';
import {describe, expect, it} from 'vitest';
import {FleetCallSimulation} from './__fixtures__/fleetCallSimulation.js';
import {restartAsPlanned} from './__fixtures__/plannedRestart.js';

const BOXES = Array.from({length: 23}, (_, box) => box);
const STOPPING = BOXES.slice(0, 16);
const STAYING = BOXES.slice(16);
const FAILING = STAYING.slice(0, 4);

/** All stops begin within this time. */
const STOPS_MILLISECONDS = 2000;

const WINDOW_MILLISECONDS = 2000;
const STEP_MILLISECONDS = 100;

/** Largest share of the calls of a window that may not be served. */
const MAXIMUM_UNSERVED_SHARE = 0.1;

/** Share of the healthy upstreams that get a call in any window with more. */
const MINIMUM_USED_SHARE = 0.7;

const WARM_UP_MILLISECONDS = 10_000;
const SEEDS = [1, 2, 3, 4, 5];

/** A service that has run for a while, at half of its capacity. */
function createSimulation(
  seed: number,
  repeatableShare: number,
): FleetCallSimulation {
  const simulation = new FleetCallSimulation({
    seed,
    boxes: BOXES.length,
    slots: 3,
    workMilliseconds: 320,
    callsPerSecond: 95,
    goalMilliseconds: 800,
    waitMilliseconds: 2000,
    repeatableShare,
  });
  simulation.run(WARM_UP_MILLISECONDS);
  return simulation;
}

function stopMost(simulation: FleetCallSimulation, seed: number): void {
  const random = seededRandom(seed);
  for (const box of STOPPING) {
    simulation.after(random() * STOPS_MILLISECONDS, () =>
      restartAsPlanned(simulation, box),
    );
  }
}

/** What happened in a window of time. */
interface Window {
  /** Share of its calls that were not served. */
  readonly unservedShare: number;
  /** Share of the staying upstreams that got a call. */
  readonly usedShare: number;
}

/** All windows from a time to the end of a simulation. */
function windowsSince(
  {arrivals, results, now}: FleetCallSimulation,
  from: number,
): readonly Window[] {
  const windows: Window[] = [];
  for (
    let start = from;
    start + WINDOW_MILLISECONDS <= now;
    start += STEP_MILLISECONDS
  ) {
    const isWithin = (at: number): boolean =>
      at >= start && at < start + WINDOW_MILLISECONDS;
    const sent = results.filter(({sentAt}) => isWithin(sentAt));
    const unserved = sent.filter(({status}) => status !== 200);
    const used = new Set(
      arrivals.filter(({at}) => isWithin(at)).map(({upstream}) => upstream),
    );
    const usedCount = STAYING.filter((box) => used.has(box)).length;
    windows.push({
      unservedShare: unserved.length / sent.length,
      usedShare: usedCount / STAYING.length,
    });
  }
  return windows;
}

describe('a service of which most nodes stop at the same time', () => {
  it('serves nine of ten calls, since the upstreams of these nodes are healthy', () => {
    const unservedShares = SEEDS.flatMap((seed) => {
      const simulation = createSimulation(seed, 0.2);
      const from = simulation.now;
      stopMost(simulation, seed);
      simulation.run(9000);
      return windowsSince(simulation, from).map((each) => each.unservedShare);
    });
    expect(Math.max(...unservedShares)).toBeLessThanOrEqual(
      MAXIMUM_UNSERVED_SHARE,
    );
  });

  it('uses upstreams that recover from failures, rather than refuse calls', () => {
    const starvedWindows = SEEDS.flatMap((seed) => {
      const simulation = createSimulation(seed, 0);
      FAILING.forEach((box) => simulation.resetCalls(box, 0.75));
      simulation.run(6000);
      stopMost(simulation, seed);
      simulation.run(1500);
      const recoveredAt = simulation.now;
      FAILING.forEach((box) => simulation.resetCalls(box, 0));
      simulation.run(6000);
      return windowsSince(simulation, recoveredAt).filter(
        ({unservedShare, usedShare}) =>
          unservedShare > MAXIMUM_UNSERVED_SHARE &&
          usedShare < MINIMUM_USED_SHARE,
      );
    });
    expect(starvedWindows).toEqual([]);
  });
});
