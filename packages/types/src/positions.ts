// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Positions in the streams of a log or a store. */

/**
 * Number of times a log or store was restored to an earlier state, reported
 * with each response. A restore loses the records appended since that state,
 * and their offsets are assigned again. 0 where the log or store does not
 * report it.
 */
export type Era = number;

/** A position in a stream; an offset is valid only within its era. */
export interface StreamPosition {
  readonly era: Era;
  readonly offset: number;
}
