// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** When entries avoid guards that they cannot reach. */

/** When, and how long, an entry avoids a guard that it cannot reach. */
export interface LinkAvoidanceSettings {
  /** Consecutive failures after which the guard is avoided. */
  readonly failuresToAvoid: number;
  readonly firstAvoidanceMilliseconds: number;
  readonly longestAvoidanceMilliseconds: number;
}

/** A single failure is no proof when calls wait long for their answers. */
export const DEFAULT_LINK_AVOIDANCE: LinkAvoidanceSettings = {
  failuresToAvoid: 2,
  firstAvoidanceMilliseconds: 1000,
  longestAvoidanceMilliseconds: 30_000,
};
