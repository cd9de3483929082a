// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The books of an entry's calls, from their arrival to how they end. */

import {CustomerShares, DEFAULT_ENTRY_CAPACITY} from '@lockpin/admission';
import type {UpstreamLoads} from '@lockpin/routing';
import type {RefusalOutcome, RefusalReason} from '@lockpin/types';
import type {CallState} from './callState.js';
import type {EntryAction, EntryCall} from './entryMessages.js';
import type {OverdueAttempts} from './overdueAttempts.js';

/** Knows the calls under way; closes them with their refusals. */
export class CallBooks {
  private readonly calls = new Map<string, CallState>();
  private readonly shares = new CustomerShares(DEFAULT_ENTRY_CAPACITY);

  constructor(
    private readonly loads: UpstreamLoads,
    private readonly overdueAttempts: OverdueAttempts,
  ) {}

  /** Calls that have not ended. */
  get count(): number {
    return this.calls.size;
  }

  /** Calls that have not ended and of which something holds. */
  countOf(holds: (state: CallState) => boolean): number {
    let count = 0;
    for (const state of this.calls.values()) {
      count += holds(state) ? 1 : 0;
    }
    return count;
  }

  /** The state of a call that has not ended. */
  get(callId: string): CallState | undefined {
    return this.calls.get(callId);
  }

  /** Whether a customer's share has room for a call; takes it when so. */
  takeShare({customer, bytes}: EntryCall): boolean {
    return this.shares.take(customer, bytes);
  }

  /** A call is under way. */
  add(state: CallState): void {
    this.calls.set(state.call.id, state);
  }

  /** The overdue attempt came to nothing: what was held for it is told. */
  overdueEnded(state: CallState): readonly EntryAction[] {
    this.overdueAttempts.over(state);
    const {pending} = state;
    if (pending === undefined) {
      return [];
    }
    state.pending = undefined;
    if (pending.kind === 'refuse') {
      this.ended(state);
    }
    return [pending];
  }

  /** Only a key that was never sent before has certainly not run. */
  homeRefusal(state: CallState, reason: RefusalReason): readonly EntryAction[] {
    const isCertain = state.call.isFirstWithKey && !state.mayHaveRun;
    return this.final(state, reason, isCertain ? 'not-run' : 'unknown', 0);
  }

  /** Refuses a call for good, and says truly whether it may have run. */
  finalRefusal(
    state: CallState,
    reason: RefusalReason,
    retryAfter = 0,
  ): readonly EntryAction[] {
    const outcome = state.mayHaveRun ? 'unknown' : 'not-run';
    return this.final(state, reason, outcome, retryAfter);
  }

  /** Refuses a call, once its overdue attempt came to nothing as well. */
  final(
    state: CallState,
    reason: RefusalReason,
    outcome: RefusalOutcome,
    retryAfter: number,
  ): readonly EntryAction[] {
    const {id: callId} = state.call;
    // What an upstream said is truer than what is guessed here, and ready.
    const last: EntryAction = state.hasSpareAnswer
      ? {kind: 'pass-spare-answer', callId}
      : refuse(callId, reason, outcome, retryAfter);
    if (state.overdueAt !== undefined) {
      this.attemptEnded(state);
      state.pending = last;
      return [];
    }
    if (last.kind === 'refuse') {
      this.ended(state);
    } else {
      this.attemptEnded(state);
    }
    return [last];
  }

  /** Forgets a call; nothing more is to be done for it. */
  ended(state: CallState): readonly EntryAction[] {
    this.attemptEnded(state);
    this.overdueAttempts.over(state);
    this.calls.delete(state.call.id);
    this.shares.release(state.call.customer, state.call.bytes);
    return [];
  }

  /** The attempt under way no longer counts as load. */
  attemptEnded(state: CallState): void {
    if (state.isAttempting) {
      state.isAttempting = false;
      this.loads.ended(state.upstream);
    }
  }
}

/** Refuses a call. */
export function refuse(
  callId: string,
  reason: RefusalReason,
  outcome: RefusalOutcome,
  retryAfterMilliseconds: number,
): EntryAction {
  return {
    kind: 'refuse',
    callId,
    refusal: {reason, outcome, retryAfterMilliseconds},
  };
}
