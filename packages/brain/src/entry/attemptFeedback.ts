// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Feeds the outcomes of attempts back into upstream loads and durations. */

import type {CapacityRow, LoadHint, UpstreamLoads} from '@lockpin/routing';
import {FIRST_SERVER_ERROR_STATUS} from '@lockpin/utils';
import type {AttemptTiming} from './attemptTiming.js';
import type {CallState} from './callState.js';
import type {EntryEvent} from './entryMessages.js';
import {HOPELESS_REFUSALS} from './entrySettings.js';
import type {RecentRefusals} from './recentRefusals.js';
import type {ReturnTimes} from './returnTimes.js';

/**
 * An answer that took this many times as long as is typical counts as a failure
 * of its upstream.
 */
const SLOW_FACTOR = 3;

/** Metadata of an answer. */
type AnswerFeedback = Pick<
  EntryEvent & {readonly kind: 'attempt-answered'},
  'hint' | 'others' | 'status' | 'ranMilliseconds'
>;

/** What learns from the outcomes of attempts. */
export interface AttemptFeedbackContext {
  readonly loads: UpstreamLoads;
  readonly timing: AttemptTiming;
  readonly recentRefusals: RecentRefusals;
  readonly returnTimes: ReturnTimes;
}

/** Records load hints and durations that routing uses. */
export class AttemptFeedback {
  constructor(private readonly context: AttemptFeedbackContext) {}

  /** Records the refusal of a guard. */
  refusalReceived(
    now: number,
    state: CallState,
    event: EntryEvent & {readonly kind: 'attempt-refused'},
  ): void {
    const {upstream, hint, others, refusal} = event;
    this.hintReceived(now, upstream, hint);
    this.othersReceived(now, state, others);
    if (HOPELESS_REFUSALS.has(refusal.reason)) {
      this.context.recentRefusals.refused(now, state.call);
    }
    if (refusal.outcome === 'unknown') {
      this.context.loads.recordOutcome(state.upstream, false);
    }
    if (hint === undefined && refusal.reason === 'no-upstream') {
      this.context.loads.reportedMissing(state.upstream, now, state.offeredAt);
    }
  }

  /** Records an answer; only successful ones count for durations. */
  answerReceived(
    now: number,
    upstream: string,
    state: CallState,
    {hint, others, status, ranMilliseconds}: AnswerFeedback,
  ): void {
    this.hintReceived(now, upstream, hint);
    this.othersReceived(now, state, others);
    if (hint !== undefined) {
      this.context.loads.notices.answered(upstream, hint.notice);
    }
    this.context.returnTimes.completed(now, state.call.view.name);
    const isSuccess = status < FIRST_SERVER_ERROR_STATUS;
    const {name} = state.call.route;
    const typical =
      this.context.timing.typicalDuration(name) ?? ranMilliseconds ?? 0;
    const isSlow = (ranMilliseconds ?? 0) > SLOW_FACTOR * typical;
    this.context.loads.recordOutcome(upstream, isSuccess && !isSlow);
    if (ranMilliseconds !== undefined && isSuccess) {
      this.context.timing.answered(name, ranMilliseconds);
    }
  }

  /** Records that an attempt ended without an answer, if it was sent. */
  attemptFailed({isAttempting, upstream}: CallState, wasSent: boolean): void {
    if (isAttempting && wasSent) {
      this.context.loads.recordOutcome(upstream, false);
    }
  }

  private othersReceived(
    now: number,
    {call}: CallState,
    others: readonly CapacityRow[] | undefined,
  ): void {
    if (others !== undefined) {
      this.context.loads.capacity.rowsReceived(call.view.name, now, others);
    }
  }

  private hintReceived(
    now: number,
    upstream: string,
    hint: LoadHint | undefined,
  ): void {
    if (hint !== undefined) {
      this.context.loads.hintReceived(upstream, now, hint);
    }
  }
}
