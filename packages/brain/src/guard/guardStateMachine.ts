// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Decision logic of a box's guard for the calls to its upstreams. */

import type {Fence, HolderReply} from '@lockpin/floor';
import {isLaterPosition, laterPosition} from '@lockpin/utils';
import type {OnceHome} from '@lockpin/once';
import type {LoadHint} from '@lockpin/routing';
import type {RandomSource, UpstreamIncarnation} from '@lockpin/types';
import {CallLifecycle} from './callLifecycle.js';
import {CallEndHandler} from './callEndHandler.js';
import {CallTree} from './callTree.js';
import {DEFAULT_GUARD_SETTINGS} from './guardSettings.js';
import type {
  GuardAction,
  GuardEvent,
  GuardLimits,
  GuardedService,
} from './guardMessages.js';
import type {GuardSettings} from './guardSettings.js';
import {GuardedServices} from './guardedServices.js';
import {leavingHint} from './guardRefusals.js';
import {GuardStop} from './guardStop.js';
import {NoticeHandler} from './noticeHandler.js';
import {CallOfferHandler} from './callOfferHandler.js';
import {ReportSchedule} from './reportSchedule.js';
import type {CallKind, ParentCall} from './runningCalls.js';
import {UpstreamExitHandler} from './upstreamExitHandler.js';

/** Deterministic: actions depend only on the state, now, random and event. */
export class GuardStateMachine {
  private readonly services: GuardedServices;
  private readonly reports: ReportSchedule;
  private readonly callTree: CallTree;
  private readonly lifecycle: CallLifecycle;
  private readonly offers: CallOfferHandler;
  private readonly callEndHandler: CallEndHandler;
  private readonly exitHandler: UpstreamExitHandler;
  private readonly notices: NoticeHandler;
  private readonly stop = new GuardStop();
  /** Permits are only accepted once the holders stream was read to its end. */
  private mayTakePermits = false;

  constructor(
    home: OnceHome,
    settings: GuardSettings = DEFAULT_GUARD_SETTINGS,
  ) {
    this.services = new GuardedServices(home, settings);
    this.reports = new ReportSchedule(home, this.services);
    this.callTree = new CallTree(settings);
    this.lifecycle = new CallLifecycle(
      this.services,
      this.reports,
      settings,
      this.callTree,
      this.stop,
    );
    this.notices = new NoticeHandler(this.lifecycle);
    this.offers = new CallOfferHandler(
      this.services,
      this.lifecycle,
      this.notices,
      this.callTree,
      this.stop,
    );
    this.exitHandler = new UpstreamExitHandler(this.services, this.lifecycle);
    this.callEndHandler = new CallEndHandler(
      this.services,
      this.lifecycle,
      this.exitHandler,
      this.callTree,
    );
  }

  /** Number of accepted calls that have not ended. */
  get callCount(): number {
    return this.lifecycle.count;
  }

  /**
   * Whether an upstream here runs a retried call. Calls that the upstream makes
   * in the meantime may then be repeats as well.
   */
  get runsRepeats(): boolean {
    return [...this.services.upstreams()].some(({runsRepeats}) => runsRepeats);
  }

  /** The running call of this box that makes a call of some kind. */
  parentCall(requestId: string, kind: CallKind): ParentCall | undefined {
    return this.callTree.parent(requestId, kind);
  }

  /**
   * Whether a call that begins on this box may be a repeat, because a retried
   * call makes it.
   */
  mayBeRepeat(now: number, parentRequestId: string | undefined): boolean {
    return this.callTree.isRepeat(now, parentRequestId) ?? this.runsRepeats;
  }

  /** The load hint of an upstream, which entries get with each answer. */
  hintOf(now: number, upstream: string): LoadHint | undefined {
    const hint = this.services.upstream(upstream)?.hint(now);
    return hint && this.stop.isLeaving
      ? leavingHint(hint, this.stop.fallbackFor(now))
      : hint;
  }

  /** What limits the calls to an upstream, for logs. */
  limitsOf(now: number, upstream: string): GuardLimits | undefined {
    return this.services.upstream(upstream)?.limits(now);
  }

  /** The process behind an upstream; undefined if unknown. */
  incarnationOf(upstream: string): UpstreamIncarnation | undefined {
    return this.services.upstream(upstream)?.incarnation;
  }

  /** The standing of each upstream, for the status endpoint. */
  standings(now: number): readonly {
    readonly upstream: string;
    readonly state: string;
    readonly occupied: number;
    readonly limit: number;
    readonly denial: string;
    /** Undefined without a limit of retries. */
    readonly retriesLeft: number | undefined;
    /** Requests per second that the upstream states to take, if any. */
    readonly requestsPerSecond: number | undefined;
    /** Whether the upstream states that it is leaving. */
    readonly isLeaving: boolean;
  }[] {
    return [...this.services.upstreams()].map((upstream) => {
      const {state, occupied, limit} = upstream.hint(now);
      const shownState = upstream.standing.condemned ? 'condemned' : state;
      const {name, standing, notice} = upstream;
      const {denial} = standing;
      const {requestsPerSecond, isLeaving} = notice;
      const {retriesLeft} = upstream.limits(now);
      return {
        upstream: name,
        state: shownState,
        occupied,
        limit,
        denial,
        retriesLeft,
        requestsPerSecond,
        isLeaving,
      };
    });
  }

  /** Handles an event and returns the resulting actions. */
  handle(
    now: number,
    random: RandomSource,
    event: GuardEvent,
  ): readonly GuardAction[] {
    switch (event.kind) {
      case 'call-offered':
        this.callTree.offered(event.call);
        return this.offers.offered(now, random, event.call);
      case 'call-go':
        return this.go(now, event.callId, event.requestDigest);
      case 'call-cancelled':
        return this.callEndHandler.abandoned(now, event.callId, 'caller-left');
      case 'nested-call-began':
        this.callTree.nestedBegan(event.parentRequestId, event.service);
        return [];
      case 'nested-call-ended':
        this.callTree.nestedEnded(now, event);
        return [];
      case 'own-call-failed':
        for (const upstream of this.services.upstreams()) {
          upstream.ownCallFailed(now);
        }
        return [];
      case 'call-deadline-passed':
        return this.callEndHandler.abandoned(
          now,
          event.callId,
          'deadline-passed',
        );
      case 'upstream-answered':
        return this.callEndHandler.answered(now, event);
      case 'upstream-stated':
        return this.notices.stated(now, event);
      case 'upstream-failed':
        return this.callEndHandler.failed(now, event.callId, event.wasSent);
      case 'upstream-checked':
        return this.exitHandler.checkFinished(now, event);
      case 'upstream-refused':
        return this.callEndHandler.refused(now, event.callId, event.reason);
      case 'services-changed':
        return this.configure(now, event.services);
      case 'holder-replied':
        return this.replied(now, event.service, event.reply);
      case 'fence-learnt':
        return this.advanceFence(event.service, event.fence);
      case 'holders-read':
        this.mayTakePermits = true;
        return [];
      case 'leaving':
        this.stop.begin(event.stop);
        return this.announceLeaving(now);
      case 'clock-gained':
        this.clockGained(event.milliseconds);
        return [];
      case 'tick':
        return this.tick(now);
    }
  }

  private clockGained(milliseconds: number): void {
    for (const {retries} of this.services.all()) {
      retries.clockGained(milliseconds);
    }
    for (const upstream of this.services.upstreams()) {
      upstream.clockGained(milliseconds);
    }
  }

  private configure(
    now: number,
    services: readonly GuardedService[],
  ): readonly GuardAction[] {
    const replaced = this.services.configure(services);
    return [
      ...replaced.flatMap((upstream) =>
        this.exitHandler.processReplaced(
          now,
          upstream,
          this.hintOf(now, upstream.name),
        ),
      ),
      ...this.lifecycle.refuseQueuedOnDraining(now),
    ];
  }

  /** Sends a reserved call; ignored if its reservation has ended. */
  private go(
    now: number,
    callId: string,
    requestDigest: string,
  ): readonly GuardAction[] {
    const known = this.lifecycle.get(callId);
    if (known?.reservedAt === undefined) {
      return [];
    }
    known.call = {...known.call, requestDigest};
    if (this.lifecycle.runsNothingMore(known.upstream)) {
      return this.lifecycle.releaseReservation(now, known, 'upstream-draining');
    }
    return this.lifecycle.send(now, known);
  }

  private replied(
    now: number,
    service: string,
    reply: HolderReply,
  ): readonly GuardAction[] {
    const state = this.services.get(service);
    const upstream = this.services.upstream(reply.upstream);
    const isStale =
      state === undefined || isLaterPosition(state.fence, reply.fence);
    if (isStale || upstream === undefined || !this.mayTakePermits) {
      return [];
    }
    state.fence = reply.fence;
    return this.lifecycle.standingChanged(
      now,
      upstream,
      upstream.standing.replied(now, reply),
    );
  }

  private advanceFence(service: string, fence: Fence): readonly GuardAction[] {
    const state = this.services.get(service);
    if (state !== undefined) {
      state.fence = laterPosition(state.fence, fence);
    }
    return [];
  }

  /** Tells entries to use other boxes before they make offers in vain. */
  private announceLeaving(now: number): readonly GuardAction[] {
    return [...this.services.upstreams()].map((upstream) => ({
      kind: 'standing',
      upstream: upstream.name,
      hint: leavingHint(upstream.hint(now), this.stop.fallbackFor(now)),
    }));
  }

  private tick(now: number): readonly GuardAction[] {
    const actions: GuardAction[] = [];
    actions.push(...this.lifecycle.expireReservations(now));
    for (const upstream of this.services.upstreams()) {
      const wasDoubted = upstream.isDoubted(now);
      const {freed, changes} = upstream.review(now);
      actions.push(...this.lifecycle.doubtChanged(now, upstream, wasDoubted));
      actions.push(...this.lifecycle.slotsFreed(now, freed));
      actions.push(...this.exitHandler.checkIfDue(now, upstream));
      for (const change of changes) {
        actions.push(...this.lifecycle.standingChanged(now, upstream, change));
      }
    }
    actions.push(...this.reports.due(now));
    return actions;
  }
}
