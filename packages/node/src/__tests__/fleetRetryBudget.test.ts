// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The retries of a fleet, over guards that start anew. */

import {describe, expect, it} from 'vitest';
import {fleetRetryBudget} from '../process/fleetRetryBudget.js';

const RETRIES = {ratio: 0.2, windowMilliseconds: 10_000, extra: 100};
const STARTED = 50_000;

/** Retries that one of ten guards of a service may pay for at a time, without calls. */
function retriesAt(now: number, isFirstStart: boolean): number {
  const budget = fleetRetryBudget({
    startedAt: STARTED,
    isFirstStart,
    retries: () => RETRIES,
    upstreams: () => 10,
  });
  let count = 0;
  while (budget.takeRetry(now)) {
    count += 1;
  }
  return count;
}

describe('the retries that a guard pays for', () => {
  it('are its part of the extra when the fleet starts for the first time', () => {
    expect(retriesAt(STARTED, true)).toBe(8);
  });

  it('are none but its share of calls while an earlier process may have spent them', () => {
    expect(retriesAt(STARTED, false)).toBe(0);
    expect(retriesAt(STARTED + 9999, false)).toBe(0);
    expect(retriesAt(STARTED + 10_000, false)).toBe(8);
  });
});
