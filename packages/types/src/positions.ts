// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Places in the streams of a log or a store. */

/**
 * How often a log or store was restored to an earlier state, as it tells with each answer:
 * it rises with each restore. What was taken up since that state is gone then, and offsets
 * are given out again. 0 where it does not tell.
 */
export type Era = number;

/** A place in a stream; an offset alone means nothing in another era. */
export interface StreamPosition {
  readonly era: Era;
  readonly offset: number;
}
