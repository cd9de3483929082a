// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Attempts that take far too long, and go on beside a second one. */

import type {RoutingCandidate, UpstreamLoads} from '@lockpin/routing';
import type {RandomSource} from '@lockpin/types';
import {setTerms} from './callState.js';
import type {CallState} from './callState.js';
import type {EntryAction} from './entryMessages.js';
import type {RetryPolicy} from './retryPolicy.js';
import type {UpstreamChooser} from './upstreamChooser.js';

/** At most one overdue attempt goes on for each call. */
export class OverdueAttempts {
  constructor(
    private readonly loads: UpstreamLoads,
    private readonly retries: RetryPolicy,
    private readonly chooser: UpstreamChooser,
  ) {}

  /**
   * Where to offer a repeatable call too, if something pays for it. The overdue
   * attempt goes on: its upstream may be about to answer, and breaking it off
   * would waste its work.
   */
  offerElsewhere(
    now: number,
    random: RandomSource,
    state: CallState,
  ): RoutingCandidate | undefined {
    const hasOverdue = state.overdueAt !== undefined;
    if (!state.isAttempting || hasOverdue || !this.retries.mayRepeat(state)) {
      return undefined;
    }
    if (!this.retries.mayPay(state, 1)) {
      return undefined;
    }
    const excluded = new Set([...state.ran, state.upstream]);
    const again = this.chooser.choose(now, random, state.call, excluded);
    if (again === undefined || !this.retries.payRetry(now, state)) {
      return undefined;
    }
    state.mayHaveRun = true;
    state.ran.add(state.upstream);
    state.overdueAt = state.upstream;
    state.isAttempting = false;
    setTerms(state, 'may-wait');
    return again;
  }

  /** The overdue attempt has ended, or is given up. */
  over(state: CallState): void {
    if (state.overdueAt !== undefined) {
      this.loads.ended(state.overdueAt);
      state.overdueAt = undefined;
    }
  }

  /** Breaks off all that is under way for a call. */
  cancelAll(state: CallState): readonly EntryAction[] {
    const callId = state.call.id;
    return state.overdueAt === undefined
      ? [{kind: 'cancel-attempt', callId}]
      : [
          {kind: 'cancel-attempt', callId},
          {kind: 'cancel-overdue', callId},
        ];
  }
}
