// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What was given up at the limit of a planned stop. */

import type {Refusal, Repetition} from '@lockpin/types';

/** Calls of an entry that may have run and got no answer of their upstream. */
export interface GivenUpCalls {
  /** Answered as unknown; they may be repeated. */
  repeatable: number;
  /** Answered as unknown; they may not be repeated without a key. */
  unrepeatable: number;
  /** Their answers had begun, and were cut off. */
  cutOff: number;
}

/** Counts of an entry that gave up nothing. */
export function nothingGivenUp(): GivenUpCalls {
  return {repeatable: 0, unrepeatable: 0, cutOff: 0};
}

/** Counts a call that ends with a refusal; one that did not run is none. */
export function countGivenUp(
  counts: GivenUpCalls,
  {outcome}: Refusal,
  repetition: Repetition,
  hasBegun: boolean,
): void {
  if (hasBegun) {
    counts.cutOff += 1;
  } else if (outcome === 'unknown') {
    const kind = repetition === 'repeatable' ? 'repeatable' : 'unrepeatable';
    counts[kind] += 1;
  }
}
