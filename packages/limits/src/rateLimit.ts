// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a customer may call, over all boxes together. */

/** A customer's limit as its operators state it. */
export interface RateLimit {
  readonly callsPerSecond: number;
  /** Calls on top, at once. */
  readonly burst: number;
}
