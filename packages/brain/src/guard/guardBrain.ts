// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The guard of a box: decides what becomes of each call to its upstreams. */

import type {Freed} from '@lockpin/admission';
import type {HolderReply} from '@lockpin/floor';
import {parseOnceKey} from '@lockpin/once';
import type {OnceDecision, OnceHome} from '@lockpin/once';
import type {LoadHint} from '@lockpin/routing';
import type {RandomSource, RefusalOutcome, RefusalReason} from '@lockpin/types';
import {DEFAULT_GUARD_SETTINGS} from './guardMessages.js';
import type {
  GuardAction,
  GuardCall,
  GuardEvent,
  GuardSettings,
} from './guardMessages.js';
import {GuardedServices} from './guardedServices.js';
import type {ServiceState} from './guardedServices.js';
import {onceRefusal} from './onceRefusals.js';
import {ReportSchedule} from './reportSchedule.js';
import type {UpstreamGuard} from './upstreamGuard.js';
import type {StandingChange} from './upstreamStanding.js';

interface KnownCall {
  readonly call: GuardCall;
  readonly upstream: UpstreamGuard;
  /** When its slot was reserved; undefined before, and once it was sent. */
  reservedAt: number | undefined;
}

/** Decides by (now, random, event) alone. */
export class GuardBrain {
  private readonly services: GuardedServices;
  private readonly reports: ReportSchedule;
  private readonly calls = new Map<string, KnownCall>();
  private isLeaving = false;
  /** No permit is taken before the holders stream was read to its end. */
  private mayTakePermits = false;

  constructor(
    home: OnceHome,
    private readonly settings: GuardSettings = DEFAULT_GUARD_SETTINGS,
  ) {
    this.services = new GuardedServices(home, settings);
    this.reports = new ReportSchedule(home, this.services);
  }

  /** Calls accepted and not yet ended. */
  get callCount(): number {
    return this.calls.size;
  }

  /** What entries are told of an upstream with each answer. */
  hintOf(now: number, upstream: string): LoadHint | undefined {
    const hint = this.services.upstream(upstream)?.hint(now);
    return hint && this.isLeaving ? {...hint, state: 'draining'} : hint;
  }

  /** Identity of the process behind an upstream; undefined when not known. */
  lifetimeOf(upstream: string): string | undefined {
    return this.services.upstream(upstream)?.lifetime;
  }

  /** The standing of each upstream, for status. */
  standings(now: number): readonly {
    readonly upstream: string;
    readonly state: string;
    readonly occupied: number;
    readonly limit: number;
    readonly denial: string;
  }[] {
    return [...this.services.upstreams()].map((upstream) => {
      const {state, occupied, limit} = upstream.hint(now);
      const shown = upstream.condemned ? 'condemned' : state;
      const {name, denial} = upstream;
      return {upstream: name, state: shown, occupied, limit, denial};
    });
  }

  handle(
    now: number,
    random: RandomSource,
    event: GuardEvent,
  ): readonly GuardAction[] {
    switch (event.kind) {
      case 'call-offered':
        return this.offered(now, random, event.call);
      case 'call-go':
        return this.go(now, event.callId);
      case 'call-cancelled':
        return this.givenUp(now, event.callId, 'caller-left');
      case 'call-deadline-passed':
        return this.givenUp(now, event.callId, 'deadline-passed');
      case 'upstream-answered':
        return this.answered(now, event);
      case 'upstream-failed':
        return this.upstreamFailed(now, event.callId, event.wasSent);
      case 'upstream-refused':
        return this.upstreamRefused(now, event.callId, event.reason);
      case 'services-changed':
        this.services.configure(event.services);
        return this.refuseWhereDraining(now);
      case 'holder-replied':
        return this.replied(now, event.service, event.reply);
      case 'fence-learnt':
        return this.learnFence(event.service, event.fence);
      case 'holders-read':
        this.mayTakePermits = true;
        return [];
      case 'leaving':
        this.isLeaving = true;
        return [];
      case 'tick':
        return this.tick(now);
    }
  }

  private offered(
    now: number,
    random: RandomSource,
    call: GuardCall,
  ): readonly GuardAction[] {
    const service = this.services.get(call.service);
    const upstream = this.services.choose(now, call, random);
    if (service === undefined || upstream === undefined) {
      return [refuse(now, call, 'no-upstream', 'not-run', undefined)];
    }
    if (call.repetition === 'once-only') {
      return this.offeredOnce(now, call, service, upstream);
    }
    return this.admit(now, call, upstream);
  }

  private offeredOnce(
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
    if (this.isLeaving) {
      const refusal = this.refuseForGood(now, call, upstream, 'node-leaving');
      return [leavingHint(refusal)];
    }
    const reason = upstream.refusalReason(now, call);
    if (reason !== undefined) {
      return [this.refuseForGood(now, call, upstream, reason)];
    }
    const offer = upstream.offer(now, call);
    if (offer.kind === 'refused') {
      const after = offer.retryAfterMilliseconds;
      return [this.refuseForGood(now, call, upstream, offer.reason, after)];
    }
    const known: KnownCall = {call, upstream, reservedAt: undefined};
    this.calls.set(call.id, known);
    if (offer.kind === 'start') {
      return [this.run(now, known)];
    }
    const queued: GuardAction = {kind: 'queue', callId: call.id};
    return offer.displaced === undefined
      ? [queued]
      : [queued, ...this.refuseWaiting(now, offer.displaced.id, 'queue-full')];
  }

  /** The call has not run and, once refused, never will under its key. */
  private refuseForGood(
    now: number,
    call: GuardCall,
    upstream: UpstreamGuard,
    reason: RefusalReason,
    retryAfter = upstream.retryAfter(now),
  ): GuardAction {
    this.services.ledgerOf(call)?.refused(call.onceKey ?? '');
    return refuse(now, call, reason, 'not-run', upstream, retryAfter);
  }

  private refuseWaiting(
    now: number,
    callId: string,
    reason: RefusalReason,
  ): readonly GuardAction[] {
    const known = this.take(callId);
    if (known === undefined) {
      return [];
    }
    return [this.refuseForGood(now, known.call, known.upstream, reason)];
  }

  /** Takes out a call that has ended; undefined when it already had. */
  private take(callId: string): KnownCall | undefined {
    const known = this.calls.get(callId);
    this.calls.delete(callId);
    return known;
  }

  /** A call has its slot: it runs, or the slot is kept until the entry says go. */
  private run(now: number, known: KnownCall): GuardAction {
    const {call, upstream} = known;
    if (call.needsGo === true) {
      known.reservedAt = now;
      return {kind: 'reserve', callId: call.id};
    }
    this.services.ledgerOf(call)?.started(call.onceKey ?? '');
    return {kind: 'run', callId: call.id, upstream: upstream.name};
  }

  /** Only a reservation that still stands is acted upon. */
  private go(now: number, callId: string): readonly GuardAction[] {
    const known = this.calls.get(callId);
    if (known?.reservedAt === undefined) {
      return [];
    }
    const {call, upstream} = known;
    if (upstream.isDraining && !this.settings.drainFinishesQueue) {
      return this.releaseReservation(now, known, 'upstream-draining');
    }
    known.reservedAt = undefined;
    upstream.sent(now, call);
    return [{kind: 'run', callId, upstream: upstream.name}];
  }

  /** What waits for an upstream that drains can go elsewhere at once. */
  private refuseWhereDraining(now: number): readonly GuardAction[] {
    if (this.settings.drainFinishesQueue) {
      return [];
    }
    return [...this.services.upstreams()]
      .filter(({isDraining}) => isDraining)
      .flatMap((upstream) => upstream.withdrawAll())
      .flatMap(({id}) => this.refuseWaiting(now, id, 'upstream-draining'));
  }

  /** The call was never sent, and never will be. */
  private releaseReservation(
    now: number,
    {call, upstream}: KnownCall,
    reason: RefusalReason,
  ): readonly GuardAction[] {
    this.calls.delete(call.id);
    const freed = upstream.release(now, call.id);
    return [
      this.refuseForGood(now, call, upstream, reason),
      ...this.freed(now, freed),
    ];
  }

  private upstreamRefused(
    now: number,
    callId: string,
    reason: 'upstream-refused' | 'upstream-replaced',
  ): readonly GuardAction[] {
    const known = this.take(callId);
    if (known === undefined) {
      return [];
    }
    const {call, upstream} = known;
    const wasDoubted = upstream.isDoubted(now);
    const freed = upstream.refused(now, callId, reason);
    return [
      this.refuseForGood(now, call, upstream, reason),
      ...this.doubtNoted(now, upstream, wasDoubted),
      ...this.freed(now, freed),
    ];
  }

  private givenUp(
    now: number,
    callId: string,
    reason: RefusalReason,
  ): readonly GuardAction[] {
    const known = this.calls.get(callId);
    if (known === undefined) {
      return [];
    }
    const {call, upstream} = known;
    if (upstream.withdraw(callId)) {
      return this.refuseWaiting(now, callId, reason);
    }
    if (known.reservedAt !== undefined) {
      return this.releaseReservation(now, known, reason);
    }
    if (call.repetition === 'once-only' && reason === 'caller-left') {
      // It goes on, so that a repeat of the key is told how it ended.
      return [];
    }
    this.calls.delete(callId);
    this.services.ledgerOf(call)?.broke(call.onceKey ?? '');
    const isFault =
      reason === 'deadline-passed' && upstream.isOverdue(now, callId);
    const wasDoubted = upstream.isDoubted(now);
    const {freed, change} = upstream.failed(now, callId, isFault);
    return [
      {kind: 'abort', callId},
      refuse(now, call, reason, 'unknown', upstream),
      ...this.freed(now, freed),
      ...this.noted(now, upstream, change),
      ...this.doubtNoted(now, upstream, wasDoubted),
    ];
  }

  private answered(
    now: number,
    event: GuardEvent & {readonly kind: 'upstream-answered'},
  ): readonly GuardAction[] {
    const {callId, status, isShed, answer} = event;
    const known = this.take(callId);
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
    const {freed, change} = upstream.answered(now, callId, status, isShed);
    return [
      ...this.freed(now, freed),
      ...this.noted(now, upstream, change),
      ...this.doubtNoted(now, upstream, wasDoubted),
    ];
  }

  private upstreamFailed(
    now: number,
    callId: string,
    wasSent: boolean,
  ): readonly GuardAction[] {
    const known = this.take(callId);
    if (known === undefined) {
      return [];
    }
    const {call, upstream} = known;
    const wasDoubted = upstream.isDoubted(now);
    const {freed, change} = upstream.failed(now, callId, true);
    const after = [
      ...this.freed(now, freed),
      ...this.noted(now, upstream, change),
      ...this.doubtNoted(now, upstream, wasDoubted),
    ];
    if (!wasSent) {
      const reason = 'upstream-unreachable';
      return [this.refuseForGood(now, call, upstream, reason), ...after];
    }
    this.services.ledgerOf(call)?.broke(call.onceKey ?? '');
    return [
      refuse(now, call, 'upstream-failed', 'unknown', upstream),
      ...after,
    ];
  }

  private freed(now: number, freed: Freed): readonly GuardAction[] {
    const expired = freed.expired.flatMap(({id}) =>
      this.refuseWaiting(now, id, 'deadline-too-short'),
    );
    const started = freed.started.flatMap(({id}) => {
      const known = this.calls.get(id);
      if (known === undefined) {
        return [];
      }
      known.upstream.start(now, known.call);
      return [this.run(now, known)];
    });
    return [...started, ...expired];
  }

  private noted(
    now: number,
    upstream: UpstreamGuard,
    standing: StandingChange | undefined,
  ): readonly GuardAction[] {
    if (standing === undefined) {
      return [];
    }
    const {change, verdict} = standing;
    const {severity, cause, route} = verdict;
    const event: GuardAction = {
      kind: 'timeline',
      event: `upstream-${change}`,
      subject: upstream.name,
      detail: {severity: Math.round(severity * 100) / 100, cause, route},
    };
    const refusals =
      change === 'ejected'
        ? upstream
            .withdrawAll()
            .flatMap(({id}) => this.refuseWaiting(now, id, 'upstream-ejected'))
        : [];
    const isUrgent = change === 'condemned' || change === 'returned';
    const reports = isUrgent ? this.reports.urgent(now, upstream) : [];
    return [event, ...refusals, ...reports];
  }

  private doubtNoted(
    now: number,
    upstream: UpstreamGuard,
    wasDoubted: boolean,
  ): readonly GuardAction[] {
    const isDoubted = upstream.isDoubted(now);
    if (isDoubted === wasDoubted) {
      return [];
    }
    const {name} = upstream;
    const detail = {remaining: upstream.retryAfter(now)};
    const event = isDoubted ? 'upstream-doubted' : 'upstream-trusted';
    return [
      {kind: 'timeline', event, subject: name, detail},
      {kind: 'standing', upstream: name, hint: upstream.hint(now)},
    ];
  }

  private replied(
    now: number,
    service: string,
    reply: HolderReply,
  ): readonly GuardAction[] {
    const state = this.services.get(service);
    const upstream = this.services.upstream(reply.upstream);
    const isStale = state === undefined || reply.fence < state.fence;
    if (isStale || upstream === undefined || !this.mayTakePermits) {
      return [];
    }
    state.fence = reply.fence;
    return this.noted(now, upstream, upstream.replied(now, reply));
  }

  private learnFence(service: string, fence: number): readonly GuardAction[] {
    const state = this.services.get(service);
    if (state !== undefined) {
      state.fence = Math.max(state.fence, fence);
    }
    return [];
  }

  private tick(now: number): readonly GuardAction[] {
    const actions: GuardAction[] = [];
    actions.push(...this.expireReservations(now));
    for (const upstream of this.services.upstreams()) {
      const wasDoubted = upstream.isDoubted(now);
      const {freed, changes} = upstream.review(now);
      actions.push(...this.doubtNoted(now, upstream, wasDoubted));
      actions.push(...this.freed(now, freed));
      for (const change of changes) {
        actions.push(...this.noted(now, upstream, change));
      }
    }
    actions.push(...this.reports.due(now));
    return actions;
  }

  private expireReservations(now: number): readonly GuardAction[] {
    const {reservationMilliseconds} = this.settings;
    return [...this.calls.values()]
      .filter(
        ({reservedAt}) =>
          reservedAt !== undefined &&
          now - reservedAt > reservationMilliseconds,
      )
      .flatMap((known) =>
        this.releaseReservation(now, known, 'reservation-expired'),
      );
  }
}

/** The upstream may be well, but nothing reaches it through this node. */
function leavingHint(action: GuardAction): GuardAction {
  return action.kind === 'refuse' && action.hint !== undefined
    ? {...action, hint: {...action.hint, state: 'draining'}}
    : action;
}

function refuse(
  now: number,
  call: GuardCall,
  reason: RefusalReason,
  outcome: RefusalOutcome,
  upstream: UpstreamGuard | undefined,
  retryAfterMilliseconds = 0,
): GuardAction {
  return {
    kind: 'refuse',
    callId: call.id,
    refusal: {reason, outcome, retryAfterMilliseconds},
    upstream: upstream?.name ?? '',
    hint: upstream?.hint(now),
  };
}
