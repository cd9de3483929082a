// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How long a call is taken to last of whose kind nobody has seen an answer yet. */

import type {GuardCall} from './guardMessages.js';

/**
 * Operators set the goal of a route at two to four times what its calls usually take.
 * Half of it is more than usual, so that calls look late too late rather than too soon.
 */
const PRESUMED_SHARE_OF_GOAL = 0.5;

/**
 * A node that has just started knows no durations, and an upstream that hangs from the
 * start never shows any: what is left of the goal stands in for them.
 */
export function presumedDuration(
  now: number,
  {usefulUntil}: GuardCall,
): number | undefined {
  const left = usefulUntil === undefined ? 0 : usefulUntil - now;
  return left > 0 ? left * PRESUMED_SHARE_OF_GOAL : undefined;
}
