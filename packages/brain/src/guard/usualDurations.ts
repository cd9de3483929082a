// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Usual durations of each kind of call on one upstream. */

import {TypicalDurations} from '@lockpin/routing';
import type {GuardCall} from './guardMessages.js';
import {COLD_FACTOR} from './runningCall.js';
import type {RunningCall} from './runningCall.js';

/** Uses local measurements; while there are too few, those of the entry. */
export class UsualDurations {
  private readonly durations = new TypicalDurations();

  /** Records a successful call. */
  add(now: number, ended: RunningCall | undefined): void {
    if (ended !== undefined) {
      this.durations.add(ended.call.route, now - ended.startedAt);
    }
  }

  /** Usual duration of a call in milliseconds; undefined if unknown. */
  usualDuration(
    {route, expectedMilliseconds}: GuardCall,
    isCold: boolean,
  ): number | undefined {
    const usual = this.durations.median(route) ?? expectedMilliseconds;
    return usual && usual * (isCold ? COLD_FACTOR : 1);
  }
}
