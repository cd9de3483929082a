// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Registry of the open calls of an entry. */

import {CustomerShares, DEFAULT_ENTRY_CAPACITY} from '@lockpin/admission';
import type {UpstreamLoads} from '@lockpin/routing';
import type {RefusalOutcome, RefusalReason} from '@lockpin/types';
import type {CallState} from './callState.js';
import type {EntryAction, EntryCall} from './entryMessages.js';
import type {OverdueAttempts} from './overdueAttempts.js';

/** Keeps the open calls and closes them, with a refusal where necessary. */
export class CallRegistry {
  private readonly calls = new Map<string, CallState>();
  private readonly shares = new CustomerShares(DEFAULT_ENTRY_CAPACITY);

  constructor(
    private readonly loads: UpstreamLoads,
    private readonly overdueAttempts: OverdueAttempts,
  ) {}

  /** Open calls. */
  get count(): number {
    return this.calls.size;
  }

  /** Open calls that match a predicate. */
  countMatching(predicate: (state: CallState) => boolean): number {
    let count = 0;
    for (const state of this.calls.values()) {
      count += predicate(state) ? 1 : 0;
    }
    return count;
  }

  /** The state of an open call. */
  get(callId: string): CallState | undefined {
    return this.calls.get(callId);
  }

  /** Takes room for a call in its customer's share; false if there is none. */
  takeShare({customer, bytes}: EntryCall): boolean {
    return this.shares.take(customer, bytes);
  }

  /** Adds an open call. */
  add(state: CallState): void {
    this.calls.set(state.call.id, state);
  }

  /** The overdue attempt failed: reports the outcome that waited for it. */
  overdueEnded(state: CallState): readonly EntryAction[] {
    this.overdueAttempts.clear(state);
    const {pending} = state;
    if (pending === undefined) {
      return [];
    }
    state.pending = undefined;
    if (pending.kind === 'refuse') {
      this.callEnded(state);
    }
    return [pending];
  }

  /**
   * Refuses a once-only call. Its outcome is 'not-run' only if its key was
   * never sent before; otherwise an earlier call may have run.
   */
  refuseOnceCall(
    state: CallState,
    reason: RefusalReason,
  ): readonly EntryAction[] {
    const hasNotRun = state.call.isFirstWithKey && !state.mayHaveRun;
    return this.closeWithRefusal(
      state,
      reason,
      hasNotRun ? 'not-run' : 'unknown',
      0,
    );
  }

  /** Refuses a call, with an outcome that tells whether it may have run. */
  refuseCall(
    state: CallState,
    reason: RefusalReason,
    retryAfter = 0,
  ): readonly EntryAction[] {
    const outcome = state.mayHaveRun ? 'unknown' : 'not-run';
    return this.closeWithRefusal(state, reason, outcome, retryAfter);
  }

  /** Refuses a call; waits for its overdue attempt first if there is one. */
  closeWithRefusal(
    state: CallState,
    reason: RefusalReason,
    outcome: RefusalOutcome,
    retryAfter: number,
  ): readonly EntryAction[] {
    const {id: callId} = state.call;
    // The failed answer of an upstream tells more than a refusal of the entry.
    const action: EntryAction = state.hasFallbackAnswer
      ? {kind: 'pass-fallback-answer', callId}
      : refusalAction(callId, reason, outcome, retryAfter);
    if (state.overdueUpstream !== undefined) {
      this.attemptEnded(state);
      state.pending = action;
      return [];
    }
    if (action.kind === 'refuse') {
      this.callEnded(state);
    } else {
      this.attemptEnded(state);
    }
    return [action];
  }

  /** Closes a call and releases its resources. */
  callEnded(state: CallState): readonly EntryAction[] {
    this.attemptEnded(state);
    this.overdueAttempts.clear(state);
    this.calls.delete(state.call.id);
    this.shares.release(state.call.customer, state.call.bytes);
    return [];
  }

  /** Stops counting the current attempt as load of its upstream. */
  attemptEnded(state: CallState): void {
    if (state.isAttempting) {
      state.isAttempting = false;
      this.loads.ended(state.upstream);
    }
  }
}

/** Creates the action that refuses a call. */
export function refusalAction(
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
