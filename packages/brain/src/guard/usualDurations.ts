// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How long calls of each kind take at one upstream. */

import {TypicalDurations} from '@lockpin/routing';
import type {GuardCall} from './guardMessages.js';
import {COLD_FACTOR} from './runningCall.js';
import type {RunningCall} from './runningCall.js';

/** Goes by what was seen here, and before enough was by what the entry has seen. */
export class UsualDurations {
  private readonly durations = new TypicalDurations();

  /** A call ended well. */
  add(now: number, ended: RunningCall | undefined): void {
    if (ended !== undefined) {
      this.durations.add(ended.call.route, now - ended.startedAt);
    }
  }

  /** How long a call usually takes, in milliseconds; undefined when not known. */
  of(
    {route, expectedMilliseconds}: GuardCall,
    isCold: boolean,
  ): number | undefined {
    const usual = this.durations.of(route) ?? expectedMilliseconds;
    return usual && usual * (isCold ? COLD_FACTOR : 1);
  }
}
