// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Ordering of positions in a stream. */

import type {StreamPosition} from '@lockpin/types';

/**
 * Compares by era, then by offset: negative if the first is earlier, positive
 * if later.
 */
export function comparePositions(a: StreamPosition, b: StreamPosition): number {
  return a.era === b.era ? a.offset - b.offset : a.era - b.era;
}

/** Returns the later of two positions. */
export function laterPosition(
  a: StreamPosition,
  b: StreamPosition,
): StreamPosition {
  return comparePositions(a, b) >= 0 ? a : b;
}

/** Whether the first position is later than the second. */
export function isLaterPosition(a: StreamPosition, b: StreamPosition): boolean {
  return comparePositions(a, b) > 0;
}
