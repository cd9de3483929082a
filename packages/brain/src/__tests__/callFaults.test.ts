// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Injects every fault, and pairs of faults, at the steps of a call. */

import {describe, expect, it} from 'vitest';
import {CALL_FAULTS, CallSimulation} from './__fixtures__/callSimulation.js';
import type {TimedFault} from './__fixtures__/callSimulation.js';

const KINDS = ['repeatable', 'once-only'] as const;

/** Later steps come after the call has ended and its deadline has passed. */
const MAXIMUM_STEPS = 60;

/** Pairs of faults are injected within the steps of a successful call. */
const PAIR_STEPS = 14;

function runWithFaults(
  kind: (typeof KINDS)[number],
  faults: readonly TimedFault[],
): CallSimulation {
  const simulation = new CallSimulation(kind === 'once-only', faults);
  simulation.run();
  return simulation;
}

/** Returns the request of an execution: its entry and number. */
function requestOf(execution: string): string {
  return execution.split(' ').slice(0, 2).join(' ');
}

function checkResults(
  simulation: CallSimulation,
  kind: (typeof KINDS)[number],
): void {
  const ran = new Set(simulation.executions.map(requestOf));
  const requests = simulation.results.map(({request}) => request);
  expect(new Set(requests).size).toBe(requests.length);
  for (const {request, outcome, executionId} of simulation.results) {
    if (outcome === 'not-run') {
      expect(ran.has(request)).toBe(false);
    }
    if (outcome === 'answered' && kind === 'repeatable') {
      expect(requestOf(executionId ?? '')).toBe(request);
    }
    if (outcome === 'answered') {
      expect(ran.has(requestOf(executionId ?? ''))).toBe(true);
    }
  }
  if (kind === 'once-only') {
    expect(simulation.executions.length).toBeLessThanOrEqual(1);
  }
}

describe.each(KINDS)('a %s call', (kind) => {
  it('is answered without faults', () => {
    const simulation = runWithFaults(kind, []);
    expect(simulation.results).toMatchObject([{outcome: 'answered'}]);
    expect(simulation.executions).toHaveLength(1);
  });

  it.each(CALL_FAULTS)('stays true when %s, at every step', (fault) => {
    let maximumSteps = 0;
    for (let step = 0; step < MAXIMUM_STEPS; step += 1) {
      const simulation = runWithFaults(kind, [{fault, step}]);
      checkResults(simulation, kind);
      maximumSteps = Math.max(maximumSteps, simulation.steps);
    }
    // The fault was injected before, during and after the call.
    expect(maximumSteps).toBeGreaterThan(5);
  });

  it.each(CALL_FAULTS)(
    'stays true when %s and another fault comes too',
    (fault) => {
      for (const other of CALL_FAULTS) {
        for (let step = 0; step < PAIR_STEPS; step += 2) {
          for (let next = 0; next < PAIR_STEPS; next += 2) {
            const faults = [
              {fault, step},
              {fault: other, step: next},
            ];
            checkResults(runWithFaults(kind, faults), kind);
          }
        }
      }
    },
  );

  it.each(CALL_FAULTS)('returns a result to its caller when %s', (fault) => {
    for (let step = 0; step < MAXIMUM_STEPS; step += 1) {
      const simulation = runWithFaults(kind, [{fault, step}]);
      const hasCallerLeft = fault === 'caller leaves';
      expect(
        simulation.results.length + (hasCallerLeft ? 1 : 0),
      ).toBeGreaterThan(0);
    }
  });
});
