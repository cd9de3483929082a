// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * What pays for the retries of a declared fleet. The guards of a service's upstreams
 * share what the fleet may spend. They are fewer than its entries and see more calls
 * each, and a call that one of them cannot pay for may find another that can: with a
 * budget at each entry, most was left unspent while entries beside a service that
 * calls much had nothing left.
 */

import {WindowedRetryBudget} from '@lockpin/routing';
import type {FleetRetryLimit} from './fleetPorts.js';

/**
 * Part of the fleet's retries that its guards use. The rest covers the share of calls
 * that a guard which starts anew may spend a second time: it does not know what was
 * spent on its box, and does without the extra alone for a window. Calls that upstreams
 * make for a repeat are counted, see mayBeRepeat, and need no margin.
 */
const RETRY_SHARE = 0.85;

/** What a guard has to know of its fleet. */
export interface RetryFleet {
  /** When this process started, by its clock. */
  readonly startedAt: number;
  /** No earlier process of this box can have spent retries. */
  readonly isFirstStart: boolean;
  /** May change while the process runs. */
  readonly retries: () => FleetRetryLimit;
  /** Upstreams of the service that are known now, whose guards share its retries. */
  readonly upstreams: () => number;
}

/** Makes the budget of one service at one guard. */
export function fleetRetryBudget(fleet: RetryFleet): WindowedRetryBudget {
  return new WindowedRetryBudget((now) => {
    const {ratio, windowMilliseconds, extra} = fleet.retries();
    const mayHaveSpent =
      !fleet.isFirstStart && now - fleet.startedAt < windowMilliseconds;
    const ownExtra = extra / Math.max(1, fleet.upstreams());
    return {
      ratio: ratio * RETRY_SHARE,
      windowMilliseconds,
      extra: mayHaveSpent ? 0 : ownExtra * RETRY_SHARE,
    };
  });
}
