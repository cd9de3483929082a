// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Offers calls to upstreams in rounds, with pauses, until one takes them. */

import type {RoutingCandidate, UpstreamLoads} from '@lockpin/routing';
import type {RandomSource, RefusalReason} from '@lockpin/types';
import type {AttemptTiming} from './attemptTiming.js';
import {canBeSentAgain} from './bodyReplay.js';
import type {CallRegistry} from './callRegistry.js';
import {isRetry, setTerms} from './callState.js';
import type {CallState} from './callState.js';
import type {
  Attempt,
  BoxAvailability,
  EntryAction,
  EntryCall,
} from './entryMessages.js';
import {NO_CAPACITY_REFUSALS, NO_SLOT_REFUSALS} from './entrySettings.js';
import type {EntrySettings} from './entrySettings.js';
import type {EntryStop} from './entryStop.js';
import type {OfferPlanner, PlannedOffer} from './offerPlanner.js';
import {isKeptOutByLimits, shortestRetryAfter} from './refusedOffers.js';
import type {ReturnTimes} from './returnTimes.js';
import type {UpstreamChooser} from './upstreamChooser.js';

/** Retry-after of calls for which there is no upstream. */
export const NO_UPSTREAM_RETRY_MILLISECONDS = 500;

/**
 * Retry-after of calls that have not run but cannot be offered again: another
 * upstream may take the caller's next request at once.
 */
const BODY_SPENT_RETRY_MILLISECONDS = 100;

/** Share of the shortest wait reported by guards after which to ask again. */
const WAIT_SHARE = 0.5;

/** Dependencies of the offers. */
export interface CallOffersContext {
  readonly boxes: BoxAvailability;
  readonly settings: EntrySettings;
  readonly loads: UpstreamLoads;
  readonly chooser: UpstreamChooser;
  readonly calls: CallRegistry;
  readonly timing: AttemptTiming;
  readonly planner: OfferPlanner;
  readonly returnTimes: ReturnTimes;
  readonly stop: EntryStop;
}

/** Makes offers, and pauses or refuses a call when a round has failed. */
export class CallOffers {
  constructor(private readonly context: CallOffersContext) {}

  /**
   * Offers a call to the next upstream; pauses or refuses it if there is none.
   */
  next(
    now: number,
    random: RandomSource,
    state: CallState,
    reasonIfNone: RefusalReason,
    retryAfter = NO_UPSTREAM_RETRY_MILLISECONDS,
  ): readonly EntryAction[] {
    if (!canBeSentAgain(state)) {
      return this.refuseSpent(state, reasonIfNone, retryAfter);
    }
    const quarantined = this.quarantinedFor(now, state);
    if (quarantined > 0) {
      const reason = 'request-quarantined';
      return this.context.calls.refuseCall(state, reason, quarantined);
    }
    if (!this.mayStart(now, state)) {
      const after = this.context.stop.returnAfter(now, state);
      return this.context.calls.refuseCall(state, 'node-leaving', after);
    }
    if (reasonIfNone === 'guard-silent' && this.isHeldTooLong(now, state)) {
      return this.refuse(now, random, state, reasonIfNone, retryAfter);
    }
    const planned = this.plan(now, random, state);
    switch (planned.kind) {
      case 'offer': {
        const {name, box} = planned.candidate;
        return [this.send(now, state, name, box, name)];
      }
      case 'hopeless':
        return this.refuse(
          now,
          random,
          state,
          'deadline-too-short',
          planned.wait,
        );
      case 'exhausted':
        return this.refuse(now, random, state, planned.reason, retryAfter);
      case 'none':
        return this.pauseOrRefuse(now, random, state, reasonIfNone, retryAfter);
    }
  }

  /** An upstream for a further attempt of a call that was answered. */
  retryCandidate(
    now: number,
    random: RandomSource,
    state: CallState,
  ): RoutingCandidate | undefined {
    const {settings, planner, chooser} = this.context;
    return settings.plansOffers
      ? planner.retry(now, random, state)
      : chooser.untried(now, random, state);
  }

  /** Whether an attempt that starts now can end before this node stops. */
  mayStart(now: number, state: CallState): boolean {
    return this.context.stop.mayStart(now, state);
  }

  private plan(
    now: number,
    random: RandomSource,
    state: CallState,
  ): PlannedOffer {
    const {settings, planner, chooser} = this.context;
    if (settings.plansOffers) {
      return planner.next(now, random, state);
    }
    const candidate = chooser.next(now, random, state);
    return candidate === undefined
      ? {kind: 'none'}
      : {kind: 'offer', candidate};
  }

  /** Remaining quarantine of the call in milliseconds; 0 if it may run. */
  quarantinedFor(now: number, {call}: CallState): number {
    return this.context.settings.quarantinedFor(now, call.requestDigest);
  }

  /**
   * Pauses a call, since slots may be freed soon, but only while it may wait.
   * A nested call may not: its parent holds a slot.
   */
  pauseOrRefuse(
    now: number,
    random: RandomSource,
    state: CallState,
    reason: RefusalReason,
    retryAfter: number,
  ): readonly EntryAction[] {
    if (!canBeSentAgain(state)) {
      return this.refuseSpent(state, reason, retryAfter);
    }
    const {pauseMilliseconds, boundsHolding} = this.context.settings;
    const milliseconds = this.pauseBefore(state);
    if (
      pauseMilliseconds === 0 ||
      state.call.isNested === true ||
      reason === 'nested-busy' ||
      now + milliseconds > this.mayPauseUntil(state) ||
      isKeptOutByLimits(state, reason) ||
      (boundsHolding && NO_SLOT_REFUSALS.has(reason))
    ) {
      const after = shortestRetryAfter(state, reason, retryAfter);
      return this.refuse(now, random, state, reason, after);
    }
    state.pauses += 1;
    return [{kind: 'pause', callId: state.call.id, milliseconds}];
  }

  /** Refuses a call of whose body a part is gone, at once. */
  refuseSpent(
    state: CallState,
    reason: RefusalReason,
    retryAfter: number,
  ): readonly EntryAction[] {
    const after =
      retryAfter > 0 || state.mayHaveRun
        ? retryAfter
        : BODY_SPENT_RETRY_MILLISECONDS;
    return this.context.calls.refuseCall(state, reason, after);
  }

  /** Refuses a call; for lack of capacity with a retry-after that spreads callers. */
  private refuse(
    now: number,
    random: RandomSource,
    state: CallState,
    reason: RefusalReason,
    retryAfter: number,
  ): readonly EntryAction[] {
    const {calls, loads, returnTimes, settings} = this.context;
    const known = Number.isFinite(retryAfter)
      ? retryAfter
      : NO_UPSTREAM_RETRY_MILLISECONDS;
    if (!settings.spreadsReturns || !NO_CAPACITY_REFUSALS.has(reason)) {
      return calls.refuseCall(state, reason, known);
    }
    const service = state.call.view.name;
    returnTimes.refused(now, service);
    const wait = loads.capacity.shortestWait(service, now) ?? known;
    const shortest = Math.min(wait, state.shortestWait, known);
    const after = returnTimes.after(now, random, state, shortest);
    return calls.refuseCall(state, reason, after);
  }

  /** Whether a call that no guard has acknowledged has been held long enough. */
  private isHeldTooLong(now: number, state: CallState): boolean {
    const {boundsHolding} = this.context.settings;
    const until = this.mayPauseUntil(state);
    return boundsHolding && now >= until && !state.mayHaveRun;
  }

  /**
   * Until when a call may wait for upstreams that are doubted or unreachable. As
   * that does not indicate a lack of capacity, it waits while it can be answered
   * in time and its caller still has time to retry.
   */
  private mayPauseUntil(state: CallState): number {
    const {settings, timing} = this.context;
    const {arrivedAt, call, heldUntil} = state;
    const share = (call.deadline - arrivedAt) * settings.heldShare;
    return settings.boundsHolding
      ? Math.min(
          arrivedAt + share,
          Math.max(heldUntil, timing.latestStart(state)),
        )
      : heldUntil;
  }

  /** Asking again long before a slot is expected anywhere would be useless. */
  private pauseBefore({pauses, shortestWait}: CallState): number {
    const {pauseMilliseconds} = this.context.settings;
    const reportedWait = Number.isFinite(shortestWait) ? shortestWait : 0;
    return Math.max(pauseMilliseconds * 2 ** pauses, reportedWait * WAIT_SHARE);
  }

  /** Starts a new round of offers. */
  pauseEnded(
    now: number,
    random: RandomSource,
    state: CallState,
  ): readonly EntryAction[] {
    state.reroutes = 0;
    state.slotRefusals = 0;
    state.shortestWait = Number.POSITIVE_INFINITY;
    state.isOnlyLimited = true;
    setTerms(state, this.context.settings.initialTerms);
    return this.next(now, random, state, 'no-upstream');
  }

  /** Only the process that a once key is bound to may run its call. */
  attemptAtHome(
    now: number,
    state: CallState,
    key: NonNullable<EntryCall['onceKey']>,
  ): readonly EntryAction[] {
    const {box, incarnation} = key.home;
    const current = this.context.boxes.incarnation(box);
    if (current !== undefined && current > incarnation) {
      return this.context.calls.refuseOnceCall(state, 'once-home-replaced');
    }
    if (!this.context.boxes.isUsable(box)) {
      return this.context.calls.refuseOnceCall(state, 'once-home-unreachable');
    }
    return [this.send(now, state, `home ${box}`, box, undefined)];
  }

  /** Offers a call to one upstream. */
  send(
    now: number,
    state: CallState,
    loadKey: string,
    box: string,
    upstream: string | undefined,
  ): EntryAction {
    state.upstream = loadKey;
    state.offeredAt = now;
    state.tried.add(loadKey);
    state.isAttempting = true;
    this.context.loads.sent(loadKey, isRetry(state));
    return {
      kind: 'attempt',
      attempt: {
        ...this.attemptOf(state),
        box,
        upstream,
        knownNotice: this.context.loads.notices.of(loadKey),
      },
    };
  }

  private attemptOf(
    state: CallState,
  ): Omit<Attempt, 'box' | 'upstream' | 'knownNotice'> {
    const {timing} = this.context;
    const {call, paidAttempts, terms} = state;
    return {
      callId: call.id,
      call,
      number: paidAttempts + (call.isCallersRetry ? 1 : 0),
      terms,
      expectedMilliseconds: timing.typicalDuration(call.route.name),
      overdueMilliseconds: timing.overdueAfter(state),
      startBy: this.startBy(state),
      acknowledgementTimeoutMilliseconds: timing.acknowledgementTimeout(state),
    };
  }

  /**
   * Limits the wait so that a refused caller still has time to try again, and the
   * call ends before this node stops.
   */
  private startBy(state: CallState): number | undefined {
    const usual = this.usualStartBy(state) ?? Number.POSITIVE_INFINITY;
    const latest = Math.min(usual, this.context.stop.latestStart(state));
    return Number.isFinite(latest) ? latest : undefined;
  }

  private usualStartBy(state: CallState): number | undefined {
    const {settings, timing} = this.context;
    const {mayHaveRun, heldUntil, terms} = state;
    if (settings.plansOffers && terms === 'may-wait') {
      return timing.latestStart(state);
    }
    return settings.heldShare > 0 && !mayHaveRun ? heldUntil : undefined;
  }
}
