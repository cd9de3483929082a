// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A call that has a slot of its upstream, and whether it is late there. */

import type {GuardCall} from './guardMessages.js';

/**
 * A call is late when it takes this many times what is usual for its kind. One
 * call in a hundred of a healthy upstream takes about three times as long.
 */
const LATE_FACTOR = 3.5;

/** Added to the time that is usual, so that scheduling delays do not count. */
const LATE_ALLOWANCE_MILLISECONDS = 60;

/** How much longer calls take on an upstream that is cold. */
export const COLD_FACTOR = 2;

/** Keeps its slot until it ends. */
export interface RunningCall {
  readonly call: GuardCall;
  readonly startedAt: number;
  /** The upstream works on it; false while its slot is only reserved. */
  readonly isSent: boolean;
}

/** Whether a call took far longer than its kind does at its upstream. */
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
