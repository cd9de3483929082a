// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Handles the calls that entries offer to a guard. */

import {parseOnceKey} from '@lockpin/once';
import type {OnceDecision} from '@lockpin/once';
import type {RandomSource} from '@lockpin/types';
import type {CallTree} from './callTree.js';
import type {CallLifecycle} from './callLifecycle.js';
import type {GuardCall} from './guardCall.js';
import type {GuardAction} from './guardMessages.js';
import type {GuardedServices, ServiceState} from './guardedServices.js';
import {refuse} from './guardRefusals.js';
import type {GuardStop} from './guardStop.js';
import type {NestedShortage} from './nestedCapacity.js';
import type {NoticeHandler} from './noticeHandler.js';
import {onceRefusal} from './onceRefusals.js';
import type {UpstreamGuard} from './upstreamGuard.js';

/** Admits or refuses offered calls; CallLifecycle tracks the accepted ones. */
export class CallOfferHandler {
  constructor(
    private readonly services: GuardedServices,
    private readonly lifecycle: CallLifecycle,
    private readonly notices: NoticeHandler,
    private readonly callTree: CallTree,
    private readonly stop: GuardStop,
  ) {}

  /** Runs the call, queues it, answers it from the ledger, or refuses it. */
  offered(
    now: number,
    random: RandomSource,
    call: GuardCall,
  ): readonly GuardAction[] {
    const service = this.services.get(call.service);
    const upstream = this.services.chooseUpstream(now, call, random);
    if (service === undefined || upstream === undefined) {
      return [refuse(now, call, 'no-upstream', 'not-run', undefined)];
    }
    const learned = this.notices.learned(now, upstream, call);
    const decided =
      call.repetition === 'once-only'
        ? this.offerOnceOnly(now, call, service, upstream)
        : this.admit(now, call, upstream);
    return [...learned, ...decided];
  }

  private offerOnceOnly(
    now: number,
    call: GuardCall,
    service: ServiceState,
    upstream: UpstreamGuard,
  ): readonly GuardAction[] {
    const key = parseOnceKey(call.onceKey ?? '');
    if (key === undefined) {
      return [refuse(now, call, 'once-key-malformed', 'not-run', upstream)];
    }
    const decision = service.ledger.begin(now, key, call.requestDigest);
    if (decision.kind === 'run') {
      return this.admit(now, call, upstream);
    }
    return [this.answerRepeat(now, call, upstream, decision)];
  }

  private answerRepeat(
    now: number,
    call: GuardCall,
    upstream: UpstreamGuard,
    decision: Exclude<OnceDecision, {readonly kind: 'run'}>,
  ): GuardAction {
    if (decision.kind === 'answer') {
      return {kind: 'answer-stored', callId: call.id, answer: decision.answer};
    }
    const {reason, outcome} = onceRefusal(decision.kind);
    return refuse(now, call, reason, outcome, upstream);
  }

  private admit(
    now: number,
    call: GuardCall,
    upstream: UpstreamGuard,
  ): readonly GuardAction[] {
    if (
      this.stop.isLeaving &&
      !this.stop.mayTake(now, call, upstream.recentDurations)
    ) {
      const reason = 'node-leaving';
      return [this.lifecycle.refusePermanently(now, call, upstream, reason)];
    }
    const reason = upstream.refusalReason(now, call);
    if (reason !== undefined) {
      return [this.lifecycle.refusePermanently(now, call, upstream, reason)];
    }
    const shortage = this.callTree.shortage(now, call);
    if (shortage !== undefined) {
      return [this.refuseBusyParent(now, call, upstream, shortage)];
    }
    const {isLeaving} = this.stop;
    const offer = upstream.offer(
      now,
      isLeaving ? {...call, mayWait: false} : call,
    );
    if (offer.kind === 'refused') {
      const after = offer.retryAfterMilliseconds;
      return [
        this.lifecycle.refusePermanently(
          now,
          call,
          upstream,
          offer.reason,
          after,
        ),
      ];
    }
    const known = this.lifecycle.add(call, upstream);
    if (offer.kind === 'start') {
      return this.lifecycle.run(now, known);
    }
    const queued: GuardAction = {kind: 'queue', callId: call.id};
    return offer.displaced === undefined
      ? [queued]
      : [
          queued,
          ...this.lifecycle.refuseWaiting(
            now,
            offer.displaced.id,
            'queue-full',
          ),
        ];
  }

  private refuseBusyParent(
    now: number,
    call: GuardCall,
    upstream: UpstreamGuard,
    shortage: NestedShortage,
  ): GuardAction {
    const after = Math.ceil(shortage.milliseconds);
    const reason = 'nested-busy';
    return {
      ...this.lifecycle.refusePermanently(now, call, upstream, reason, after),
      shortage,
    };
  }
}
