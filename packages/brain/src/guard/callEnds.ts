// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What becomes of calls that end, and of those that wait for their slots. */

import type {RefusalReason} from '@lockpin/types';
import type {CallCourse} from './callCourse.js';
import type {GuardAction, GuardEvent} from './guardMessages.js';
import type {GuardedServices} from './guardedServices.js';
import {refuse} from './guardRefusals.js';
import type {UpstreamEnds} from './upstreamEnds.js';

/** Tells callers truly how their calls ended; events of others lead to nothing. */
export class CallEnds {
  constructor(
    private readonly services: GuardedServices,
    private readonly course: CallCourse,
    private readonly upstreamEnds: UpstreamEnds,
  ) {}

  /** The upstream answered a call. */
  answered(
    now: number,
    event: GuardEvent & {readonly kind: 'upstream-answered'},
  ): readonly GuardAction[] {
    const {callId, status, isShed, answer} = event;
    const known = this.course.take(callId);
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
    const end = upstream.answered(now, callId, status, isShed);
    return this.course.ended(now, upstream, end, wasDoubted);
  }

  /** The exchange with the upstream broke, or never came about. */
  failed(
    now: number,
    callId: string,
    wasSent: boolean,
  ): readonly GuardAction[] {
    const known = this.course.take(callId);
    if (known === undefined) {
      return [];
    }
    const {call, upstream} = known;
    const wasDoubted = upstream.isDoubted(now);
    const end = upstream.failed(now, callId, true);
    const after = this.course.ended(now, upstream, end, wasDoubted);
    if (!wasSent) {
      const reason = 'upstream-unreachable';
      return [this.course.refuseForGood(now, call, upstream, reason), ...after];
    }
    this.services.ledgerOf(call)?.broke(call.onceKey ?? '');
    return [
      refuse(now, call, 'upstream-failed', 'unknown', upstream),
      ...after,
      ...this.upstreamEnds.broke(now, upstream, call.requestDigest),
    ];
  }

  /** The upstream itself said that it did not run a call. */
  refused(
    now: number,
    callId: string,
    reason: 'upstream-refused' | 'upstream-replaced',
  ): readonly GuardAction[] {
    const known = this.course.take(callId);
    if (known === undefined) {
      return [];
    }
    const {call, upstream} = known;
    const wasDoubted = upstream.isDoubted(now);
    const freed = upstream.refused(now, callId, reason);
    return [
      this.course.refuseForGood(now, call, upstream, reason),
      ...this.course.doubtChanged(now, upstream, wasDoubted),
      ...this.course.freed(now, freed),
    ];
  }

  /** The entry, or the deadline, wants no more of a call. */
  givenUp(
    now: number,
    callId: string,
    reason: RefusalReason,
  ): readonly GuardAction[] {
    const known = this.course.get(callId);
    if (known === undefined) {
      return [];
    }
    const {call, upstream} = known;
    if (upstream.withdraw(callId)) {
      return this.course.refuseWaiting(now, callId, reason);
    }
    if (known.reservedAt !== undefined) {
      return this.course.releaseReservation(now, known, reason);
    }
    if (call.repetition === 'once-only' && reason === 'caller-left') {
      // It goes on, so that a repeat of the key is told how it ended.
      return [];
    }
    this.course.take(callId);
    this.services.ledgerOf(call)?.broke(call.onceKey ?? '');
    const isFault =
      reason === 'deadline-passed' && upstream.isOverdue(now, callId);
    const wasDoubted = upstream.isDoubted(now);
    const end = upstream.failed(now, callId, isFault);
    return [
      {kind: 'abort', callId},
      refuse(now, call, reason, 'unknown', upstream),
      ...this.course.ended(now, upstream, end, wasDoubted),
    ];
  }
}
