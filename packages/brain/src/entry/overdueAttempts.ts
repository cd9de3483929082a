// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Hedging: a second attempt beside one that is overdue. */

import type {RoutingCandidate, UpstreamLoads} from '@lockpin/routing';
import type {RandomSource} from '@lockpin/types';
import {setTerms} from './callState.js';
import type {CallState} from './callState.js';
import type {EntryAction} from './entryMessages.js';
import type {EntrySettings} from './entrySettings.js';
import type {OfferPlanner} from './offerPlanner.js';
import type {RetryPolicy} from './retryPolicy.js';
import type {UpstreamChooser} from './upstreamChooser.js';

/** Dependencies of the overdue attempts. */
export interface OverdueAttemptsContext {
  readonly settings: EntrySettings;
  readonly loads: UpstreamLoads;
  readonly retries: RetryPolicy;
  readonly chooser: UpstreamChooser;
  readonly planner: OfferPlanner;
}

/** Keeps at most one overdue attempt running for each call. */
export class OverdueAttempts {
  constructor(private readonly context: OverdueAttemptsContext) {}

  /**
   * Chooses where to send the second attempt of a repeatable call and pays for
   * it from the retry budget. The overdue attempt continues: its upstream may
   * be about to answer, and cancelling it would waste the work done.
   */
  startHedge(
    now: number,
    random: RandomSource,
    state: CallState,
  ): RoutingCandidate | undefined {
    const hasOverdue = state.overdueUpstream !== undefined;
    if (
      !state.isAttempting ||
      hasOverdue ||
      !this.context.retries.isRepeatable(state)
    ) {
      return undefined;
    }
    if (!this.context.retries.hasAttemptsLeft(state, 1)) {
      return undefined;
    }
    const excluded = new Set([...state.ran, state.upstream]);
    const {settings, planner, chooser} = this.context;
    const candidate = settings.plansOffers
      ? planner.hedge(now, random, state, excluded)
      : chooser.choose(now, random, state.call, excluded);
    if (candidate === undefined || !this.context.retries.payRetry(now, state)) {
      return undefined;
    }
    this.context.loads.recordOutcome(state.upstream, false);
    state.mayHaveRun = true;
    state.ran.add(state.upstream);
    state.overdueUpstream = state.upstream;
    state.isAttempting = false;
    setTerms(state, 'may-wait');
    return candidate;
  }

  /** Stops counting the overdue attempt: it has ended or is cancelled. */
  clear(state: CallState): void {
    if (state.overdueUpstream !== undefined) {
      this.context.loads.ended(state.overdueUpstream);
      state.overdueUpstream = undefined;
    }
  }

  /** Cancels all running attempts of a call. */
  cancelAll(state: CallState): readonly EntryAction[] {
    const callId = state.call.id;
    return state.overdueUpstream === undefined
      ? [{kind: 'cancel-attempt', callId}]
      : [
          {kind: 'cancel-attempt', callId},
          {kind: 'cancel-overdue', callId},
        ];
  }
}
