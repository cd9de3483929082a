// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a customer may call, and how many of its calls may be allowed at once. */

/** A customer's limit as its operators state it; over all boxes together. */
export interface RateLimit {
  readonly callsPerSecond: number;
  /** Calls on top, at once. */
  readonly burst: number;
}

/** How exactly a limit is to be kept. */
export interface LimitRules {
  /** Every span of this length counts. */
  readonly windowMilliseconds: number;
  /** Share of what a window allows that may be exceeded. */
  readonly overage: number;
  /** Calls of a window that may come on top of that. */
  readonly slack: number;
}

/** For deployments that say nothing of it. */
export const DEFAULT_LIMIT_RULES: LimitRules = {
  windowMilliseconds: 5000,
  overage: 0.1,
  slack: 20,
};

/**
 * A call is counted when it is allowed and seen when it reaches its upstream, up to this
 * much later. What is allowed before a window and arrives in it has to fit in what the
 * rules leave.
 */
const ARRIVAL_SECONDS = 0.4;

/** Calls that the fleet may run in any window of the rules. */
export function mostInWindow(
  {callsPerSecond, burst}: RateLimit,
  {windowMilliseconds, overage, slack}: LimitRules,
): number {
  const allowed = (callsPerSecond * windowMilliseconds) / 1000 + burst;
  return allowed * (1 + overage) + slack;
}

/**
 * Tokens that may exist at a time, each for one call. In a window no more calls can be
 * allowed than there were tokens at its beginning and are made in it, so that this
 * many keep the rules wherever the tokens are and whoever made them.
 */
export function tokenCapacity(limit: RateLimit, rules: LimitRules): number {
  const {callsPerSecond} = limit;
  const made = (callsPerSecond * rules.windowMilliseconds) / 1000;
  const late = callsPerSecond * ARRIVAL_SECONDS;
  return Math.max(1, mostInWindow(limit, rules) - made - late);
}
