// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The guard of a box: decides what becomes of each call to its upstreams. */

import type {HolderReply} from '@lockpin/floor';
import type {OnceHome} from '@lockpin/once';
import type {LoadHint} from '@lockpin/routing';
import type {
  RandomSource,
  RefusalReason,
  UpstreamIncarnation,
} from '@lockpin/types';
import {isSameIncarnation} from '@lockpin/utils';
import {CallCourse} from './callCourse.js';
import {DEFAULT_GUARD_SETTINGS} from './guardMessages.js';
import type {
  GuardAction,
  GuardEvent,
  GuardSettings,
  GuardedService,
} from './guardMessages.js';
import {GuardedServices} from './guardedServices.js';
import {leavingHint, refuse} from './guardRefusals.js';
import {OfferedCalls} from './offeredCalls.js';
import {ReportSchedule} from './reportSchedule.js';
import type {UpstreamGuard} from './upstreamGuard.js';

/** Decides by (now, random, event) alone. */
export class GuardBrain {
  private readonly services: GuardedServices;
  private readonly reports: ReportSchedule;
  private readonly course: CallCourse;
  private readonly offers: OfferedCalls;
  private isLeaving = false;
  /** No permit is taken before the holders stream was read to its end. */
  private mayTakePermits = false;

  constructor(
    home: OnceHome,
    private readonly settings: GuardSettings = DEFAULT_GUARD_SETTINGS,
  ) {
    this.services = new GuardedServices(home, settings);
    this.reports = new ReportSchedule(home, this.services);
    this.course = new CallCourse(this.services, this.reports, settings);
    this.offers = new OfferedCalls(
      this.services,
      this.course,
      () => this.isLeaving,
    );
  }

  /** Calls accepted and not yet ended. */
  get callCount(): number {
    return this.course.count;
  }

  /**
   * Whether an upstream here works on a repeated call: what it calls meanwhile
   * is repeated as well.
   */
  get runsRepeats(): boolean {
    return [...this.services.upstreams()].some(({runsRepeats}) => runsRepeats);
  }

  /** What entries are told of an upstream with each answer. */
  hintOf(now: number, upstream: string): LoadHint | undefined {
    const hint = this.services.upstream(upstream)?.hint(now);
    return hint && this.isLeaving ? leavingHint(hint) : hint;
  }

  /** The process behind an upstream; undefined when not known. */
  incarnationOf(upstream: string): UpstreamIncarnation | undefined {
    return this.services.upstream(upstream)?.incarnation;
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
      const shown = upstream.standing.condemned ? 'condemned' : state;
      const {name, standing} = upstream;
      const {denial} = standing;
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
        return this.offers.offered(now, random, event.call);
      case 'call-go':
        return this.go(now, event.callId, event.requestDigest);
      case 'call-cancelled':
        return this.givenUp(now, event.callId, 'caller-left');
      case 'own-call-failed':
        for (const upstream of this.services.upstreams()) {
          upstream.ownCallFailed(now);
        }
        return [];
      case 'call-deadline-passed':
        return this.givenUp(now, event.callId, 'deadline-passed');
      case 'upstream-answered':
        return this.answered(now, event);
      case 'upstream-failed':
        return this.upstreamFailed(now, event.callId, event.wasSent);
      case 'upstream-looked-at':
        return this.lookedAt(now, event);
      case 'upstream-refused':
        return this.upstreamRefused(now, event.callId, event.reason);
      case 'services-changed':
        return this.configure(now, event.services);
      case 'holder-replied':
        return this.replied(now, event.service, event.reply);
      case 'fence-learnt':
        return this.learnFence(event.service, event.fence);
      case 'holders-read':
        this.mayTakePermits = true;
        return [];
      case 'leaving':
        this.isLeaving = true;
        return this.tellLeaving(now);
      case 'tick':
        return this.tick(now);
    }
  }

  private configure(
    now: number,
    services: readonly GuardedService[],
  ): readonly GuardAction[] {
    const succeeded = this.services.configure(services);
    return [
      ...succeeded.flatMap((upstream) => this.succeeded(now, upstream)),
      ...this.course.refuseWhereDraining(now),
    ];
  }

  /**
   * The process ended and another one has its id: nothing of its calls can still come,
   * and what was told of its standing is past.
   */
  private succeeded(
    now: number,
    upstream: UpstreamGuard,
  ): readonly GuardAction[] {
    const {name, isDraining} = upstream;
    const {actions, digests} = this.course.endAllOf(now, upstream);
    const hint = this.hintOf(now, name);
    return [
      ...actions,
      ...crashed(upstream, isDraining ? [] : digests),
      ...(hint === undefined
        ? []
        : [{kind: 'standing', upstream: name, hint} as const]),
    ];
  }

  /** Only a reservation that still stands is acted upon. */
  private go(
    now: number,
    callId: string,
    requestDigest: string,
  ): readonly GuardAction[] {
    const known = this.course.get(callId);
    if (known?.reservedAt === undefined) {
      return [];
    }
    known.call = {...known.call, requestDigest};
    if (known.upstream.isDraining && !this.settings.drainFinishesQueue) {
      return this.course.releaseReservation(now, known, 'upstream-draining');
    }
    return this.course.send(now, known);
  }

  private upstreamRefused(
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

  private givenUp(
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

  private answered(
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

  private upstreamFailed(
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
      ...this.broke(now, upstream, call.requestDigest),
    ];
  }

  /** One that drains is to end, and breaks what takes longer than it stays. */
  private broke(
    now: number,
    upstream: UpstreamGuard,
    requestDigest: string,
  ): readonly GuardAction[] {
    return upstream.isDraining
      ? []
      : [
          ...crashed(upstream, upstream.crashes.broke(now, requestDigest)),
          ...this.look(now, upstream),
        ];
  }

  /** Calls broke: has the upstream ended, or does it only reset connections? */
  private look(now: number, upstream: UpstreamGuard): readonly GuardAction[] {
    const {name, incarnation} = upstream;
    return upstream.crashes.beginLook(now)
      ? [{kind: 'look-at-upstream', upstream: name, incarnation}]
      : [];
  }

  /** What is found at the address tells nothing of an earlier process there. */
  private lookedAt(
    now: number,
    event: GuardEvent & {readonly kind: 'upstream-looked-at'},
  ): readonly GuardAction[] {
    const upstream = this.services.upstream(event.upstream);
    return upstream === undefined ||
      !isSameIncarnation(upstream.incarnation, event.incarnation)
      ? []
      : crashed(upstream, upstream.crashes.looked(now, event.presence));
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
    return this.course.noted(
      now,
      upstream,
      upstream.standing.replied(now, reply),
    );
  }

  private learnFence(service: string, fence: number): readonly GuardAction[] {
    const state = this.services.get(service);
    if (state !== undefined) {
      state.fence = Math.max(state.fence, fence);
    }
    return [];
  }

  /** Entries go elsewhere before their next offers come in vain. */
  private tellLeaving(now: number): readonly GuardAction[] {
    return [...this.services.upstreams()].map((upstream) => ({
      kind: 'standing',
      upstream: upstream.name,
      hint: leavingHint(upstream.hint(now)),
    }));
  }

  private tick(now: number): readonly GuardAction[] {
    const actions: GuardAction[] = [];
    actions.push(...this.course.expireReservations(now));
    for (const upstream of this.services.upstreams()) {
      const wasDoubted = upstream.isDoubted(now);
      const {freed, changes} = upstream.review(now);
      actions.push(...this.course.doubtChanged(now, upstream, wasDoubted));
      actions.push(...this.course.freed(now, freed));
      actions.push(...this.look(now, upstream));
      for (const change of changes) {
        actions.push(...this.course.noted(now, upstream, change));
      }
    }
    actions.push(...this.reports.due(now));
    return actions;
  }
}

function crashed(
  {name}: UpstreamGuard,
  digests: readonly string[],
): readonly GuardAction[] {
  return digests.length === 0
    ? []
    : [{kind: 'upstream-crashed', upstream: name, digests}];
}
