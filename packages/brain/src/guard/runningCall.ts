// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A call that holds a slot of its upstream, and whether it is late. */

import type {GuardCall} from './guardCall.js';

/**
 * A call is late when it takes this many times the usual duration of its kind.
 * One call in a hundred to a healthy upstream takes about three times as long.
 */
const LATE_FACTOR = 3.5;

/** Added to the usual duration, so that scheduling delays do not count. */
const LATE_ALLOWANCE_MILLISECONDS = 60;

/** Factor by which calls take longer on a cold upstream. */
export const COLD_FACTOR = 2;

/** A call that holds its slot until it ends. */
export interface RunningCall {
  readonly call: GuardCall;
  readonly startedAt: number;
  /** Whether it was sent; false while its slot is only reserved. */
  readonly isSent: boolean;
}

/** Whether a call took far longer than is usual for its kind. */
export function isLate(
  now: number,
  {call, startedAt, isSent}: RunningCall,
  coldUntil = 0,
): boolean {
  const usual = call.expectedMilliseconds;
  if (usual === undefined || !isSent) {
    return false;
  }
  const expected = usual * (now < coldUntil ? COLD_FACTOR : 1);
  const limit = expected * LATE_FACTOR + LATE_ALLOWANCE_MILLISECONDS;
  return now - startedAt > limit;
}
