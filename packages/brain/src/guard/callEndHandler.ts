// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Handles the ends of calls and passes their slots on to waiting calls. */

import type {RefusalReason} from '@lockpin/types';
import {FIRST_SERVER_ERROR_STATUS} from '@lockpin/utils';
import type {CallTree} from './callTree.js';
import type {CallLifecycle} from './callLifecycle.js';
import type {GuardAction, GuardEvent} from './guardMessages.js';
import type {GuardedServices} from './guardedServices.js';
import {refuse} from './guardRefusals.js';
import type {UpstreamExitHandler} from './upstreamExitHandler.js';

/** Reports how calls ended; events for unknown calls are ignored. */
export class CallEndHandler {
  constructor(
    private readonly services: GuardedServices,
    private readonly lifecycle: CallLifecycle,
    private readonly exitHandler: UpstreamExitHandler,
    private readonly callTree: CallTree,
  ) {}

  /** Handles an answer from the upstream. */
  answered(
    now: number,
    event: GuardEvent & {readonly kind: 'upstream-answered'},
  ): readonly GuardAction[] {
    const {callId, status, isShed, answer} = event;
    const isExplained = this.callTree.hasFailedNested(callId);
    const isComplete = status < FIRST_SERVER_ERROR_STATUS;
    const known = this.lifecycle.remove(now, callId, isComplete);
    if (known === undefined) {
      return [];
    }
    const {call, upstream} = known;
    const key = call.onceKey ?? '';
    if (answer === undefined) {
      this.services.ledgerOf(call)?.ran(key);
    } else {
      this.services.ledgerOf(call)?.answered(key, answer);
    }
    const wasDoubted = upstream.isDoubted(now);
    const result = {status, isShed, isExplained};
    const end = upstream.answered(now, callId, result);
    return this.lifecycle.callEnded(now, upstream, end, wasDoubted);
  }

  /** Handles an exchange that broke or could not be started. */
  failed(
    now: number,
    callId: string,
    wasSent: boolean,
  ): readonly GuardAction[] {
    const known = this.lifecycle.remove(now, callId);
    if (known === undefined) {
      return [];
    }
    const {call, upstream} = known;
    const wasDoubted = upstream.isDoubted(now);
    const end = upstream.failed(now, callId, true);
    const after = this.lifecycle.callEnded(now, upstream, end, wasDoubted);
    if (!wasSent) {
      const reason = 'upstream-unreachable';
      return [
        this.lifecycle.refusePermanently(now, call, upstream, reason),
        ...after,
      ];
    }
    this.services.ledgerOf(call)?.interrupted(call.onceKey ?? '');
    return [
      refuse(now, call, 'upstream-failed', 'unknown', upstream),
      ...after,
      ...this.exitHandler.callBroke(now, upstream, call.requestDigest),
    ];
  }

  /** Handles a call that the upstream itself refused without running it. */
  refused(
    now: number,
    callId: string,
    reason: 'upstream-refused' | 'upstream-replaced',
  ): readonly GuardAction[] {
    const known = this.lifecycle.remove(now, callId);
    if (known === undefined) {
      return [];
    }
    const {call, upstream} = known;
    const wasDoubted = upstream.isDoubted(now);
    const freed = upstream.refused(now, callId, reason);
    return [
      this.lifecycle.refusePermanently(now, call, upstream, reason),
      ...this.lifecycle.doubtChanged(now, upstream, wasDoubted),
      ...this.lifecycle.slotsFreed(now, freed),
    ];
  }

  /** Ends a call that the entry cancelled or whose deadline passed. */
  abandoned(
    now: number,
    callId: string,
    reason: RefusalReason,
  ): readonly GuardAction[] {
    const known = this.lifecycle.get(callId);
    if (known === undefined) {
      return [];
    }
    const {call, upstream} = known;
    if (upstream.withdraw(callId)) {
      return this.lifecycle.refuseWaiting(now, callId, reason);
    }
    if (known.reservedAt !== undefined) {
      return this.lifecycle.releaseReservation(now, known, reason);
    }
    if (call.repetition === 'once-only' && reason === 'caller-left') {
      // The call continues, so that a repeat of its key gets the outcome.
      return [];
    }
    this.lifecycle.remove(now, callId);
    this.services.ledgerOf(call)?.interrupted(call.onceKey ?? '');
    const isFault =
      reason === 'deadline-passed' && upstream.isOverdue(now, callId);
    const wasDoubted = upstream.isDoubted(now);
    const end = upstream.failed(now, callId, isFault);
    return [
      {kind: 'abort', callId},
      refuse(now, call, reason, 'unknown', upstream),
      ...this.lifecycle.callEnded(now, upstream, end, wasDoubted),
    ];
  }
}
