// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Decides how long a guard holds an answer for a slow reader. */

/** A call whose answer is cut off. */
export interface CutCall {
  readonly requestId: string;
  readonly customer: string;
}

/** Called when an answer is cut off. */
export type OnCut = (call: CutCall, reason: CutReason) => void;

/** Why an answer is cut off. */
export type CutReason =
  /** At a bound, it occupies a slot that other calls need. */
  | 'reader-holds-slot'
  /** Its reader takes nothing. */
  | 'reader-stalled'
  /** After its call's time, no part arrives though its reader takes more. */
  | 'answer-stalled'
  /** The bytes of all answers exceed the memory for them by far. */
  | 'memory-exhausted';

/**
 * A blocked answer continues with each chunk of up to 64 KB that its reader
 * takes. One that stays blocked for this long has a reader that is slower than
 * 256 KB/s, and its upstream would cut it off after some seconds. With 1000 ms,
 * 30 new slow readers a second kept all four slots of an upstream occupied.
 */
const BLOCKED_MILLISECONDS = 250;

/**
 * A reader at 1 KB/s takes the largest window of an answer, 256 KB, in less.
 * The entry notices earlier that a caller takes nothing; this limit is for
 * entries that are silent.
 */
const UNTAKEN_MILLISECONDS = 300_000;

/** What the decision depends on; times in milliseconds since 1970. */
export interface HeldAnswer {
  /** When reading from the upstream was suspended; undefined if it is not. */
  readonly blockedSince: number | undefined;
  /** Since when the entry has asked for nothing; undefined if it can take more. */
  readonly untakenSince: number | undefined;
  /** Whether all slots of the upstream are occupied. */
  readonly isSlotNeeded: boolean;
}

/** Returns why an answer is to be cut off now; undefined if it is not. */
export function reasonToCut(
  now: number,
  {blockedSince, untakenSince, isSlotNeeded}: HeldAnswer,
): CutReason | undefined {
  if (now - (untakenSince ?? now) >= UNTAKEN_MILLISECONDS) {
    return 'reader-stalled';
  }
  const blockedMilliseconds = now - (blockedSince ?? now);
  return isSlotNeeded && blockedMilliseconds >= BLOCKED_MILLISECONDS
    ? 'reader-holds-slot'
    : undefined;
}
