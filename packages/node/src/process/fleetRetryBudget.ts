// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * The retry budget of a declared fleet. The guards of a service's upstreams
 * share the fleet's budget, rather than its entries: guards are fewer, each
 * sees more calls, and a retry that one guard cannot budget may be accepted by
 * another. With a budget at each entry, most of it remained unused while
 * entries of busy callers had exhausted theirs.
 */

import {WindowedRetryBudget} from '@lockpin/routing';
import type {FleetRetryLimit} from './fleetPorts.js';

/**
 * Share of the fleet's retries that its guards use. The rest is a margin for
 * guards that restart: they do not know how many retries their box has used,
 * and may use those earned by recent calls a second time. They go without the
 * additional retries for one window. Calls that upstreams make while they run a
 * repeated call are counted (see mayBeRepeat) and need no margin.
 */
const RETRY_SHARE = 0.85;

/** Dependencies of a guard's retry budget. */
export interface RetryBudgetContext {
  /** Start of this process, by its own clock. */
  readonly startedAt: number;
  /** Whether no earlier process of this box can have used retries. */
  readonly isFirstStart: boolean;
  /** Returns the current limit, which may change while the process runs. */
  readonly retries: () => FleetRetryLimit;
  /**
   * Returns the number of known upstreams of the service, whose guards share
   * its retries.
   */
  readonly upstreams: () => number;
}

/** Creates the retry budget of one service at one guard. */
export function fleetRetryBudget(
  fleet: RetryBudgetContext,
): WindowedRetryBudget {
  return new WindowedRetryBudget((now) => {
    const {ratio, windowMilliseconds, extra} = fleet.retries();
    const mayHaveUsedRetries =
      !fleet.isFirstStart && now - fleet.startedAt < windowMilliseconds;
    const ownExtra = extra / Math.max(1, fleet.upstreams());
    return {
      ratio: ratio * RETRY_SHARE,
      windowMilliseconds,
      extra: mayHaveUsedRetries ? 0 : ownExtra * RETRY_SHARE,
    };
  });
}
