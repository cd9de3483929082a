// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Rate limits of customers and the number of tokens that keeps them. */

/** A customer's limit as configured, over all boxes together. */
export interface RateLimit {
  readonly callsPerSecond: number;
  /** Additional calls allowed in a burst. */
  readonly burst: number;
}

/** The tolerance with which limits are enforced. */
export interface LimitRules {
  /** Length of the sliding window that limits apply to. */
  readonly windowMilliseconds: number;
  /** Share of a window's calls by which the limit may be exceeded. */
  readonly overage: number;
  /** Calls per window allowed in addition to that. */
  readonly slack: number;
}

/** The rules of deployments that configure none. */
export const DEFAULT_LIMIT_RULES: LimitRules = {
  windowMilliseconds: 5000,
  overage: 0.1,
  slack: 20,
};

/**
 * A call is counted when it is admitted, and reaches its upstream up to this
 * much later. Calls admitted before a window that arrive in it have to fit into
 * the tolerance of the rules.
 */
const ARRIVAL_DELAY_SECONDS = 0.4;

/** The number of calls that the fleet may run in any window. */
export function maximumInWindow(
  {callsPerSecond, burst}: RateLimit,
  {windowMilliseconds, overage, slack}: LimitRules,
): number {
  const allowed = (callsPerSecond * windowMilliseconds) / 1000 + burst;
  return allowed * (1 + overage) + slack;
}

/**
 * The number of tokens that may exist at a time, each for one call. A window
 * cannot admit more calls than there are tokens at its start plus those accrued
 * in it, so this number keeps the rules wherever the tokens are.
 */
export function tokenCapacity(limit: RateLimit, rules: LimitRules): number {
  const {callsPerSecond} = limit;
  const accrued = (callsPerSecond * rules.windowMilliseconds) / 1000;
  const inTransit = callsPerSecond * ARRIVAL_DELAY_SECONDS;
  return Math.max(1, maximumInWindow(limit, rules) - accrued - inTransit);
}
