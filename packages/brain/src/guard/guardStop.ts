// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The stop of a guard's node, and the accepted calls that it comes too soon for. */

import type {RecentDurations} from '@lockpin/routing';
import {USUAL_FACTOR, latestStart} from '../plannedStop.js';
import type {PlannedStop} from '../plannedStop.js';
import type {GuardCall} from './guardCall.js';
import {presumedDuration} from './presumedDuration.js';

/** Whether the node of a guard stops, and which calls may still start. */
export class GuardStop {
  /** Whether new calls are refused, except as a fallback. */
  isLeaving = false;
  private stop: PlannedStop | undefined;

  /** The node stops; without a time, accepted calls are still run. */
  begin(stop: PlannedStop | undefined): void {
    this.isLeaving = true;
    this.stop = stop;
  }

  /**
   * Milliseconds for which new calls are taken that end while callers still use
   * this node, so that the stop takes no longer.
   */
  fallbackFor(now: number): number {
    return Math.max(0, (this.stop?.callersGoneAt ?? now) - now);
  }

  /** Whether a new call that starts now ends while callers still use this node. */
  mayTake(now: number, call: GuardCall, durations: RecentDurations): boolean {
    const endsAt = now + this.fallbackFor(now);
    return now < endsAt && endsBy(now, endsAt, call, durations);
  }

  /** Whether an accepted call that starts now ends before the node does. */
  mayStart(now: number, call: GuardCall, durations: RecentDurations): boolean {
    return (
      this.stop === undefined || endsBy(now, this.stop.endsAt, call, durations)
    );
  }
}

/** Whether a call that starts now ends by some time. */
function endsBy(
  now: number,
  endsAt: number,
  call: GuardCall,
  durations: RecentDurations,
): boolean {
  const {deadline, repetition, route: kind, expectedMilliseconds} = call;
  const presumedMilliseconds =
    expectedMilliseconds === undefined
      ? presumedDuration(now, call)
      : expectedMilliseconds * USUAL_FACTOR;
  const stoppable = {deadline, repetition, kind, presumedMilliseconds};
  return now <= latestStart(endsAt, stoppable, durations);
}
