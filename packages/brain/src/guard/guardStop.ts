// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The stop of a guard's node, and the accepted calls that it comes too soon for. */

import type {RecentDurations} from '@lockpin/routing';
import {latestStart} from '../plannedStop.js';
import type {PlannedStop} from '../plannedStop.js';
import type {GuardCall} from './guardCall.js';
import {presumedDuration} from './presumedDuration.js';

/** A call whose entry knows only its usual duration may take this multiple. */
const USUAL_FACTOR = 2;

/** Whether the node of a guard stops, and which calls may still start. */
export class GuardStop {
  /** Whether new calls are refused. */
  isLeaving = false;
  private stop: PlannedStop | undefined;

  /** The node stops; without a time, accepted calls are still run. */
  begin(stop: PlannedStop | undefined): void {
    this.isLeaving = true;
    this.stop = stop;
  }

  /** Whether an accepted call that starts now ends before the node does. */
  mayStart(now: number, call: GuardCall, durations: RecentDurations): boolean {
    const {deadline, repetition, route: kind, expectedMilliseconds} = call;
    const presumedMilliseconds =
      expectedMilliseconds === undefined
        ? presumedDuration(now, call)
        : expectedMilliseconds * USUAL_FACTOR;
    const stoppable = {deadline, repetition, kind, presumedMilliseconds};
    return (
      this.stop === undefined ||
      now <= latestStart(this.stop, stoppable, durations)
    );
  }
}
