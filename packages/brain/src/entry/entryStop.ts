// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The planned stop of an entry's node, and the calls that it comes too soon for. */

import {PRESUMED_SHARE_OF_GOAL} from '../guard/presumedDuration.js';
import {latestStart} from '../plannedStop.js';
import type {PlannedStop} from '../plannedStop.js';
import type {AttemptTiming} from './attemptTiming.js';
import type {CallState} from './callState.js';
import {RETURN_SHARE} from './returnTimes.js';

/** Decides which calls may still start; all may until a stop is planned. */
export class EntryStop {
  private stop: PlannedStop | undefined;

  constructor(private readonly timing: AttemptTiming) {}

  /** The node stops. */
  begin(stop: PlannedStop): void {
    this.stop = stop;
  }

  /** Until when an attempt of a call may start, in milliseconds since 1970. */
  latestStart({call}: Pick<CallState, 'call'>): number {
    const {deadline, route} = call;
    const {repetition, goalMilliseconds: goal} = route.spec;
    const kind = route.name;
    const presumedMilliseconds = goal && goal * PRESUMED_SHARE_OF_GOAL;
    return this.stop === undefined
      ? Number.POSITIVE_INFINITY
      : latestStart(
          this.stop.endsAt,
          {deadline, repetition, kind, presumedMilliseconds},
          this.timing.recent,
        );
  }

  /** Whether an attempt of a call that starts now ends before the node does. */
  mayStart(now: number, state: Pick<CallState, 'call'>): boolean {
    return this.stop === undefined || now <= this.latestStart(state);
  }

  /**
   * Milliseconds until the caller of a call uses other nodes, or as many as it
   * waits at the most.
   */
  returnAfter(now: number, {call}: Pick<CallState, 'call'>): number {
    const gone = (this.stop?.callersGoneAt ?? now) - now;
    const longest = (call.deadline - now) * RETURN_SHARE;
    return Math.max(0, Math.ceil(Math.min(gone, longest)));
  }
}
