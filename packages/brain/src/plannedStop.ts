// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which calls a node still begins while it stops: those that can end in time. */

import type {RecentDurations} from '@lockpin/routing';
import type {Repetition} from '@lockpin/types';

/** When the stop of a node ends, by its clock. */
export interface PlannedStop {
  /** What runs then is given up. */
  readonly endsAt: number;
  /** Callers use other nodes from then on. */
  readonly callersGoneAt: number;
}

/** What determines how long a call may take. */
export interface StoppableCall {
  /** The call ends by then in any case. */
  readonly deadline: number;
  readonly repetition: Repetition;
  /** Name of the route under which its durations are recorded. */
  readonly kind: string;
  /** How long it may take if no durations are recorded; undefined if unknown. */
  readonly presumedMilliseconds: number | undefined;
}

/**
 * Share of the last calls of a kind that would end in the time left. With a larger
 * one, more calls are refused than would be cut; a repeatable call that is cut can
 * run again elsewhere.
 */
const ENDING_SHARE: Readonly<Record<Repetition, number>> = {
  repeatable: 0.9,
  'at-most-once': 0.95,
  'once-only': 0.95,
};

/** Upstreams get slower while those of the stopping node are missing. */
const DURATION_MARGIN = 1.1;

/** A call of which only the usual duration is known may take this multiple. */
export const USUAL_FACTOR = 2;

/**
 * Until when a call has to start to end by some time; Infinity if it always does.
 * Of a kind of which nothing is known, only repeatable calls may run.
 */
export function latestStart(
  endsAt: number,
  {deadline, repetition, kind, presumedMilliseconds}: StoppableCall,
  durations: RecentDurations,
): number {
  if (deadline <= endsAt) {
    return Number.POSITIVE_INFINITY;
  }
  const unknown = repetition === 'repeatable' ? 0 : Infinity;
  const duration =
    durations.quantile(kind, ENDING_SHARE[repetition]) ??
    presumedMilliseconds ??
    unknown;
  return endsAt - duration * DURATION_MARGIN;
}
