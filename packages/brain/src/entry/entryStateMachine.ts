// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Routes and retries the calls of a node, or refuses them. */

import type {
  CapacityReport,
  RoutingCandidate,
  UpstreamLoads,
} from '@lockpin/routing';
import type {RandomSource, Refusal} from '@lockpin/types';
import type {AnswerHandler} from './answerHandler.js';
import type {AttemptFeedback} from './attemptFeedback.js';
import {canBeSentAgain} from './bodyReplay.js';
import {refusalAction} from './callRegistry.js';
import type {CallRegistry} from './callRegistry.js';
import {NO_UPSTREAM_RETRY_MILLISECONDS} from './callOffers.js';
import type {CallOffers} from './callOffers.js';
import {createCallState, isDelayed, recordRefusal} from './callState.js';
import type {CallState} from './callState.js';
import {createEntryComponents} from './entryComponents.js';
import type {
  BoxAvailability,
  EntryAction,
  EntryCall,
  EntryEvent,
} from './entryMessages.js';
import {DEFAULT_ENTRY_SETTINGS} from './entrySettings.js';
import type {EntrySettings} from './entrySettings.js';
import type {EntryStop} from './entryStop.js';
import type {OverdueAttempts} from './overdueAttempts.js';
import type {RetryPolicy} from './retryPolicy.js';
import type {UpstreamChooser} from './upstreamChooser.js';
import type {RoutingRequest, UnusedUpstreams} from './upstreamChooser.js';

/** Retry-after of calls whose customer is over its share. */
const OVER_SHARE_RETRY_MILLISECONDS = 100;

/** Deterministic state machine: time and randomness come in with each event. */
export class EntryStateMachine {
  readonly loads: UpstreamLoads;
  private readonly retries: RetryPolicy;
  private readonly calls: CallRegistry;
  private readonly chooser: UpstreamChooser;
  private readonly offers: CallOffers;
  private readonly feedback: AttemptFeedback;
  private readonly overdueAttempts: OverdueAttempts;
  private readonly answers: AnswerHandler;
  private readonly stop: EntryStop;

  constructor(
    box: string,
    dataCentre: string,
    boxes: BoxAvailability,
    private readonly settings: EntrySettings = DEFAULT_ENTRY_SETTINGS,
  ) {
    const components = createEntryComponents(
      {box, dataCentre, boxes},
      settings,
    );
    this.loads = components.loads;
    this.retries = components.retries;
    this.calls = components.calls;
    this.chooser = components.chooser;
    this.offers = components.offers;
    this.feedback = components.feedback;
    this.overdueAttempts = components.overdueAttempts;
    this.answers = components.answers;
    this.stop = components.stop;
  }

  /** Open calls that got no slot on the initial terms or are overdue. */
  get delayedCallCount(): number {
    const {initialTerms} = this.settings;
    return this.calls.countMatching((state) => isDelayed(state, initialTerms));
  }

  /** Open calls. */
  get callCount(): number {
    return this.calls.count;
  }

  /** Processes an event; events of calls that have ended yield no actions. */
  handle(
    now: number,
    random: RandomSource,
    event: EntryEvent,
  ): readonly EntryAction[] {
    if (event.kind === 'call-arrived') {
      return this.handleArrival(now, random, event.call);
    }
    if (event.kind === 'stopping') {
      this.stop.begin(event.stop);
      return [];
    }
    const state = this.calls.get(event.callId);
    return state === undefined
      ? []
      : this.handleCallEvent(now, random, state, event);
  }

  /**
   * Whether an open call that runs nowhere yet may still start: it can end before
   * this node stops.
   */
  mayStart(now: number, callId: string): boolean {
    const state = this.calls.get(callId);
    return (
      state === undefined || state.mayHaveRun || this.stop.mayStart(now, state)
    );
  }

  /** Chooses an upstream without sending a call; used to issue once keys. */
  chooseFor(
    now: number,
    random: RandomSource,
    call: RoutingRequest,
    tried: ReadonlySet<string> = new Set(),
  ): RoutingCandidate | undefined {
    return this.chooser.choose(now, random, call, tried);
  }

  /**
   * What is known of the capacity of an upstream, with the offers sent since;
   * undefined unless offers are planned by it.
   */
  knownCapacity(upstream: string): CapacityReport | undefined {
    return this.settings.plansOffers
      ? this.loads.capacity.latest(upstream)
      : undefined;
  }

  /** Counts the upstreams of a service that this entry does not use, for logs. */
  unusedUpstreams(now: number, view: EntryCall['view']): UnusedUpstreams {
    return this.chooser.unused(now, view);
  }

  private handleArrival(
    now: number,
    random: RandomSource,
    call: EntryCall,
  ): readonly EntryAction[] {
    if (!this.calls.takeShare(call)) {
      const after = OVER_SHARE_RETRY_MILLISECONDS;
      return [refusalAction(call.id, 'customer-over-share', 'not-run', after)];
    }
    this.retries.firstAttempt(now, call);
    const state = createCallState(now, call, this.settings);
    this.calls.add(state);
    if (now >= call.deadline) {
      return this.calls.refuseCall(state, 'deadline-passed');
    }
    return call.onceKey === undefined
      ? this.offers.next(now, random, state, 'no-upstream')
      : this.offers.attemptAtHome(now, state, call.onceKey);
  }

  private handleCallEvent(
    now: number,
    random: RandomSource,
    state: CallState,
    event: Exclude<EntryEvent, {readonly kind: 'call-arrived' | 'stopping'}>,
  ): readonly EntryAction[] {
    switch (event.kind) {
      case 'attempt-answered':
        return this.answers.answered(now, random, state, event);
      case 'attempt-refused':
        this.calls.attemptEnded(state);
        this.feedback.refusalReceived(now, state, event);
        return this.handleRefusal(now, random, state, event.refusal);
      case 'attempt-lost':
        this.feedback.attemptFailed(state, event.wasSent);
        this.calls.attemptEnded(state);
        this.loads.linkFailed(state.upstream, now, random(), state.offeredAt);
        return this.handleLostAttempt(now, random, state, event.wasSent);
      case 'body-begun':
        state.hasBodyBegun ||= !state.call.isReplayable;
        return [];
      case 'pause-ended':
        return this.offers.pauseEnded(now, random, state);
      case 'attempt-unacknowledged':
        return this.handleUnacknowledged(now, random, state);
      case 'attempt-overdue':
        return this.answers.overdue(now, random, state);
      case 'overdue-answered':
        return this.answers.overdueAnswered(now, state, event);
      case 'overdue-ended':
        return this.calls.overdueEnded(state);
      case 'call-aborted':
        return this.handleAbort(now, random, state, event);
      case 'caller-left':
        this.feedback.attemptFailed(state, true);
        return [
          ...this.overdueAttempts.cancelAll(state),
          ...this.calls.callEnded(state),
        ];
      case 'answer-ended':
        return this.calls.callEnded(state);
    }
  }

  /** A guard that was never told to start the call cannot have run it. */
  private handleUnacknowledged(
    now: number,
    random: RandomSource,
    state: CallState,
  ): readonly EntryAction[] {
    this.calls.attemptEnded(state);
    state.unacknowledgedOffers += 1;
    state.isOnlyLimited = false;
    this.loads.linkFailed(state.upstream, now, random(), state.offeredAt);
    const cancel: EntryAction = {
      kind: 'cancel-attempt',
      callId: state.call.id,
    };
    const reason = 'guard-silent';
    const next = this.retries.takeReroute(state)
      ? this.offers.next(now, random, state, reason)
      : this.offers.pauseOrRefuse(
          now,
          random,
          state,
          reason,
          NO_UPSTREAM_RETRY_MILLISECONDS,
        );
    return [cancel, ...next];
  }

  private handleRefusal(
    now: number,
    random: RandomSource,
    state: CallState,
    refusal: Refusal,
  ): readonly EntryAction[] {
    const {reason, outcome, retryAfterMilliseconds} = refusal;
    recordRefusal(state, refusal);
    if (outcome === 'unknown') {
      state.mayHaveRun = true;
      state.ran.add(state.upstream);
    }
    if (state.call.onceKey !== undefined) {
      return this.calls.closeWithRefusal(
        state,
        reason,
        outcome,
        retryAfterMilliseconds,
      );
    }
    if (!canBeSentAgain(state)) {
      return this.offers.refuseSpent(state, reason, retryAfterMilliseconds);
    }
    if (reason === 'nested-busy' && this.isBusyElsewhere(state)) {
      return this.calls.refuseCall(state, reason, retryAfterMilliseconds);
    }
    if (this.retries.takeRerouteOrRetry(now, state, refusal)) {
      return this.offers.next(
        now,
        random,
        state,
        reason,
        retryAfterMilliseconds,
      );
    }
    return this.settings.freeRerouteRefusals.has(reason)
      ? this.offers.pauseOrRefuse(
          now,
          random,
          state,
          reason,
          retryAfterMilliseconds,
        )
      : this.calls.refuseCall(state, reason, retryAfterMilliseconds);
  }

  /**
   * Whether two boxes lack capacity for the nested calls of a call. One may be
   * mistaken; after two, most others would refuse it as well.
   */
  private isBusyElsewhere(state: CallState): boolean {
    state.nestedBusyRefusals += 1;
    return state.nestedBusyRefusals > 1;
  }

  private handleLostAttempt(
    now: number,
    random: RandomSource,
    state: CallState,
    wasSent: boolean,
  ): readonly EntryAction[] {
    state.isOnlyLimited = false;
    if (wasSent) {
      state.mayHaveRun = true;
      state.ran.add(state.upstream);
    }
    if (state.call.onceKey !== undefined) {
      return this.calls.refuseOnceCall(
        state,
        wasSent ? 'guard-lost' : 'once-home-unreachable',
      );
    }
    const reason = wasSent ? 'guard-lost' : 'guard-unreachable';
    const isFree = !wasSent && this.retries.takeReroute(state);
    if (
      isFree ||
      (this.retries.isRepeatable(state) && this.retries.payRetry(now, state))
    ) {
      return this.offers.next(now, random, state, reason);
    }
    return this.calls.refuseCall(state, reason);
  }

  private handleAbort(
    now: number,
    random: RandomSource,
    state: CallState,
    {reason, wasSent}: EntryEvent & {readonly kind: 'call-aborted'},
  ): readonly EntryAction[] {
    if (reason !== 'body-too-large') {
      this.attemptAborted(now, random, state, wasSent);
    }
    state.mayHaveRun ||= state.isAttempting && wasSent;
    const {onceKey} = state.call;
    const cancels = this.overdueAttempts.cancelAll(state);
    this.overdueAttempts.clear(state);
    const after =
      reason === 'node-leaving'
        ? this.stop.returnAfter(now, state)
        : this.offers.quarantinedFor(now, state);
    const refusal =
      onceKey === undefined
        ? this.calls.refuseCall(state, reason, after)
        : this.calls.refuseOnceCall(state, reason);
    return [...cancels, ...refusal];
  }

  /** An attempt had no result when its call ended, which its box answers for. */
  private attemptAborted(
    now: number,
    random: RandomSource,
    state: CallState,
    wasSent: boolean,
  ): void {
    this.feedback.attemptFailed(state, wasSent);
    if (state.isAttempting) {
      this.loads.linkFailed(state.upstream, now, random(), state.offeredAt);
    }
  }
}
