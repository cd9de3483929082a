// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Usual durations of each kind of call on one upstream. */

import {RecentDurations, TypicalDurations} from '@lockpin/routing';
import type {GuardCall} from './guardCall.js';
import {presumedDuration} from './presumedDuration.js';
import {COLD_FACTOR, isLate} from './runningCall.js';
import type {RunningCall} from './runningCall.js';

/** Uses local measurements; while there are too few, those of the entry. */
export class UsualDurations {
  /** The last durations of each kind. */
  readonly recent = new RecentDurations();
  private readonly durations = new TypicalDurations();

  /** @param coldUntil End of the upstream's warm-up, in milliseconds since 1970. */
  constructor(private readonly coldUntil: () => number) {}

  /** Records a successful call. */
  add(now: number, ended: RunningCall | undefined): void {
    if (ended !== undefined) {
      const {route} = ended.call;
      this.durations.add(route, now - ended.startedAt);
      this.recent.add(route, now - ended.startedAt);
    }
  }

  /** Usual duration of a call in milliseconds; undefined if unknown. */
  usual(
    now: number,
    {route, expectedMilliseconds}: GuardCall,
  ): number | undefined {
    const usual = this.durations.median(route) ?? expectedMilliseconds;
    return usual && usual * (now < this.coldUntil() ? COLD_FACTOR : 1);
  }

  /** The usual duration of a call, or an estimate while none is known. */
  expected(now: number, call: GuardCall): number | undefined {
    return this.usual(now, call) ?? presumedDuration(now, call);
  }

  /** Whether a call took far longer than is usual for its kind. */
  isLate(now: number, running: RunningCall | undefined): boolean {
    return running !== undefined && isLate(now, running, this.coldUntil());
  }
}
