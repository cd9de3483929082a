// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What calls that are sent to an upstream add to its service's retries, or cost. */

import type {RetryAllowance} from '@lockpin/routing';
import type {GuardCall} from './guardMessages.js';

/**
 * First attempts that reach the upstream pay for the retries that do; false for a
 * retry that nothing pays for, which must not be sent.
 */
export function payForSending(
  now: number,
  {attempt, retryShare, mayBeRepeat}: GuardCall,
  retries: RetryAllowance,
): boolean {
  if (attempt > 1) {
    return retries.takeRetry(now);
  }
  retries.firstAttempt(now, retryShare);
  if (mayBeRepeat === true) {
    retries.repeatArrived(now);
  }
  return true;
}
