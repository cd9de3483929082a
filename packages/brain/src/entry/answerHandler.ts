// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Handles answers and overdue attempts. */

import type {RandomSource} from '@lockpin/types';
import {FIRST_SERVER_ERROR_STATUS} from '@lockpin/utils';
import type {AttemptFeedback} from './attemptFeedback.js';
import type {CallRegistry} from './callRegistry.js';
import type {CallOffers} from './callOffers.js';
import type {CallState} from './callState.js';
import type {EntryAction, EntryEvent} from './entryMessages.js';
import type {OverdueAttempts} from './overdueAttempts.js';
import type {RetryPolicy} from './retryPolicy.js';

/** Dependencies of the answer handler. */
export interface AnswerHandlerContext {
  readonly retries: RetryPolicy;
  readonly calls: CallRegistry;
  readonly offers: CallOffers;
  readonly feedback: AttemptFeedback;
  readonly overdueAttempts: OverdueAttempts;
}

/** Passes answers to the caller, or keeps them while another attempt runs. */
export class AnswerHandler {
  constructor(private readonly context: AnswerHandlerContext) {}

  /** Hedges an overdue attempt with a second one elsewhere. */
  overdue(
    now: number,
    random: RandomSource,
    state: CallState,
  ): readonly EntryAction[] {
    const {overdueAttempts, offers} = this.context;
    const candidate = offers.mayStart(now, state)
      ? overdueAttempts.startHedge(now, random, state)
      : undefined;
    if (candidate === undefined) {
      return [];
    }
    return [
      {kind: 'keep-overdue', callId: state.call.id},
      offers.send(now, state, candidate.name, candidate.box, candidate.name),
    ];
  }

  /** Passes the answer of an overdue attempt on, unless it is a failure. */
  overdueAnswered(
    now: number,
    state: CallState,
    event: EntryEvent & {readonly kind: 'overdue-answered'},
  ): readonly EntryAction[] {
    const {feedback, calls, overdueAttempts} = this.context;
    const {callId, status} = event;
    feedback.answerReceived(now, state.overdueUpstream ?? '', state, event);
    if (status >= FIRST_SERVER_ERROR_STATUS) {
      return calls.overdueEnded(state);
    }
    overdueAttempts.clear(state);
    calls.attemptEnded(state);
    return [
      {kind: 'cancel-attempt', callId},
      {kind: 'pass-overdue-answer', callId},
    ];
  }

  /** Retries a failure where possible; passes any other answer on. */
  answered(
    now: number,
    random: RandomSource,
    state: CallState,
    event: EntryEvent & {readonly kind: 'attempt-answered'},
  ): readonly EntryAction[] {
    const {feedback, calls, retries, offers} = this.context;
    const {callId, status, isWhole} = event;
    calls.attemptEnded(state);
    feedback.answerReceived(now, state.upstream, state, event);
    const isWorthRetry = status >= FIRST_SERVER_ERROR_STATUS && isWhole;
    state.mayHaveRun = true;
    state.ran.add(state.upstream);
    if (
      isWorthRetry &&
      retries.isRepeatable(state) &&
      offers.mayStart(now, state) &&
      retries.payRetry(now, state)
    ) {
      const candidate = offers.retryCandidate(now, random, state);
      if (candidate !== undefined) {
        state.hasFallbackAnswer = true;
        return [
          offers.send(
            now,
            state,
            candidate.name,
            candidate.box,
            candidate.name,
          ),
        ];
      }
    }
    const pass: EntryAction = {kind: 'pass-answer', callId};
    if (state.overdueUpstream === undefined) {
      return [pass];
    }
    if (isWorthRetry) {
      state.pending = pass;
      return [];
    }
    return [pass, {kind: 'cancel-overdue', callId}];
  }
}
