// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The retry budget of a fleet across restarts of its guards. */

import {describe, expect, it} from 'vitest';
import {fleetRetryBudget} from '../process/fleetRetryBudget.js';

const RETRIES = {ratio: 0.2, windowMilliseconds: 10_000, extra: 100};
const STARTED_AT = 50_000;

/**
 * Retries allowed by one of ten guards of a service at a time, without any
 * calls.
 */
function retriesAt(now: number, isFirstStart: boolean): number {
  const budget = fleetRetryBudget({
    startedAt: STARTED_AT,
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
  it('are its share of the additional retries at the first start of the fleet', () => {
    expect(retriesAt(STARTED_AT, true)).toBe(8);
  });

  it('are none but its share of calls while an earlier process may have spent them', () => {
    expect(retriesAt(STARTED_AT, false)).toBe(0);
    expect(retriesAt(STARTED_AT + 9999, false)).toBe(0);
    expect(retriesAt(STARTED_AT + 10_000, false)).toBe(8);
  });
});
