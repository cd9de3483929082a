// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Randomness and time as functions, so that decisions can be replayed. */

/** Returns a number from 0 (inclusive) to 1 (exclusive). */
export type RandomSource = () => number;

/** Returns milliseconds since 1970. */
export type Clock = () => number;
