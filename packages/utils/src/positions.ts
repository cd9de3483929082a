// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The order of places in a stream. */

import type {StreamPosition} from '@lockpin/types';

/** Below 0 where the first is earlier, above 0 where it is later; eras count first. */
export function comparePositions(a: StreamPosition, b: StreamPosition): number {
  return a.era === b.era ? a.offset - b.offset : a.era - b.era;
}

/** The later of two places. */
export function laterPosition(
  a: StreamPosition,
  b: StreamPosition,
): StreamPosition {
  return comparePositions(a, b) >= 0 ? a : b;
}

/** Whether the first is later than the second. */
export function isLaterPosition(a: StreamPosition, b: StreamPosition): boolean {
  return comparePositions(a, b) > 0;
}
