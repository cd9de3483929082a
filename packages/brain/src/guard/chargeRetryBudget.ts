// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Charges calls that are sent to an upstream to the service's retry budget. */

import type {RetryAllowance} from '@lockpin/routing';
import type {GuardCall} from './guardCall.js';

/**
 * First attempts that are sent earn credit for retries. Nested calls earn none:
 * the budget is a share of the calls that callers make. Returns false for a
 * retry that the budget does not cover, which must not be sent.
 */
export function chargeRetryBudget(
  now: number,
  {attempt, priority, retryShare, mayBeRepeat, isNested}: GuardCall,
  retries: RetryAllowance,
): boolean {
  if (attempt > 1) {
    return retries.takeRetry(now, priority);
  }
  if (isNested !== true) {
    retries.firstAttempt(now, retryShare);
  }
  if (mayBeRepeat === true) {
    retries.repeatArrived(now);
  }
  return true;
}
