// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Explains why an entry sends no calls to an upstream. */

import {isRefusing} from './loadHint.js';
import type {AnnouncedState} from './loadHint.js';
import type {UpstreamLoad} from './upstreamLoad.js';

/** Why an entry currently sends no calls to an upstream. */
export type UnusedReason =
  /** Its guard refuses ordinary calls. */
  | Exclude<AnnouncedState, 'accepting' | 'probation'>
  /** Its guard has no such upstream. */
  | 'missing'
  | 'unreachable'
  | 'full'
  /** Nothing keeps calls away, but the entry has sent none for a while. */
  | 'not-called';

/** An upstream without a hint or an open call for this long is not in use. */
const UNUSED_MILLISECONDS = 2000;

/** Time for a slot to become free if calls take a few hundred milliseconds. */
const FULL_HINT_VALID_MILLISECONDS = 150;

/**
 * Whether the guard recently reported that no slot is free, or that the limit
 * of the upstream allows no call yet.
 */
export function isFull(
  {hint, hintedAt, limitedUntil}: UpstreamLoad,
  now: number,
): boolean {
  if (hint === undefined) {
    return false;
  }
  const isFresh = now - hintedAt <= FULL_HINT_VALID_MILLISECONDS;
  return limitedUntil > now || (isFresh && hint.occupied >= hint.limit);
}

/** Why an entry sends no calls to an upstream; undefined if it does. */
export function unusedReason(
  load: UpstreamLoad,
  now: number,
): UnusedReason | undefined {
  const {hint, hintedAt, outstanding, consecutiveMisses} = load;
  if (load.unreachableUntil > now) {
    return 'unreachable';
  }
  if (load.refusesUntil > now) {
    const state = hint?.state ?? 'accepting';
    return consecutiveMisses > 0 || !isRefusing(state) ? 'missing' : state;
  }
  if (isFull(load, now)) {
    return 'full';
  }
  const isUnused = outstanding === 0 && now - hintedAt > UNUSED_MILLISECONDS;
  return isUnused ? 'not-called' : undefined;
}
