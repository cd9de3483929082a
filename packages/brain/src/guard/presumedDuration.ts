// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Estimated duration of calls of a kind that has not been answered yet. */

import type {GuardCall} from './guardCall.js';

/**
 * Operators set the latency goal of a route to two to four times the usual
 * duration of its calls. Half of the goal is more than the usual duration,
 * so that healthy calls do not count as late.
 */
export const PRESUMED_SHARE_OF_GOAL = 0.5;

/**
 * Estimates the duration from the time left until the latency goal. A node that
 * has just started has no measured durations, and an upstream that hangs from
 * the start never yields any.
 */
export function presumedDuration(
  now: number,
  {usefulUntil}: GuardCall,
): number | undefined {
  const left = usefulUntil === undefined ? 0 : usefulUntil - now;
  return left > 0 ? left * PRESUMED_SHARE_OF_GOAL : undefined;
}
