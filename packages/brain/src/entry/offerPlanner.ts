// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Plans the next offer of a call from what is known of spare capacity: a free
 * slot, else the queue with the shortest wait, else an immediate refusal.
 */

import {
  chooseFree,
  chooseLeastOccupied,
  chooseQueue,
  hasFreeSlot,
  prospectsOf,
  withRetriesLeft,
} from '@lockpin/routing';
import type {Prospect, RoutingCandidate, UpstreamLoads} from '@lockpin/routing';
import type {RandomSource} from '@lockpin/types';
import {USUAL_FACTOR} from '../plannedStop.js';
import type {AttemptTiming} from './attemptTiming.js';
import {isRetry, setTerms} from './callState.js';
import type {CallState} from './callState.js';
import type {OfferTerms} from './entryMessages.js';
import type {EntrySettings} from './entrySettings.js';
import type {RecentRefusals} from './recentRefusals.js';
import type {UpstreamChooser} from './upstreamChooser.js';

/** Refusals for lack of a slot after which a call is refused. */
const SLOT_OFFERS = 3;

/**
 * Where a guard has just refused a call like it, a call asks only for queues that
 * start it in time even if they take this multiple of the wait. More urgent calls
 * that arrive later go first, so that calls that just fit are often refused after
 * they have waited.
 */
const WAIT_MARGIN = 1.5;

/** What to do next with a call that is to be offered. */
export type PlannedOffer =
  | {readonly kind: 'offer'; readonly candidate: RoutingCandidate}
  /** No slot is expected in time anywhere. */
  | {readonly kind: 'hopeless'; readonly wait: number}
  /** All have rejected it, or no guard that is known has a retry left. */
  | {
      readonly kind: 'exhausted';
      readonly reason: 'upstream-refused' | 'retries-exhausted';
    }
  /** No upstream is left. */
  | {readonly kind: 'none'};

/** Dependencies of the planner. */
export interface OfferPlannerContext {
  readonly settings: EntrySettings;
  readonly loads: UpstreamLoads;
  readonly chooser: UpstreamChooser;
  readonly timing: AttemptTiming;
  readonly recentRefusals: RecentRefusals;
}

/** Chooses the upstream and the terms of a call's next offer. */
export class OfferPlanner {
  constructor(private readonly context: OfferPlannerContext) {}

  /** Plans the next offer and sets its terms. */
  next(now: number, random: RandomSource, state: CallState): PlannedOffer {
    const planned = this.nextAccepting(now, random, state);
    if (planned.kind !== 'hopeless' && planned.kind !== 'none') {
      return planned;
    }
    const fallback = this.fallback(now, random, state, chooseLeastOccupied);
    if (fallback !== undefined) {
      return {kind: 'offer', candidate: fallback};
    }
    const {chooser} = this.context;
    const doubted = chooser.mostlyDoubted(now, random, state);
    if (doubted !== undefined) {
      return offerOn('last-resort', state, doubted);
    }
    const trial = chooser.trial(now, random, state);
    return trial === undefined ? planned : offerOn('trial', state, trial);
  }

  private nextAccepting(
    now: number,
    random: RandomSource,
    state: CallState,
  ): PlannedOffer {
    const {chooser} = this.context;
    const accepting = chooser.available(now, state);
    if (state.terms === 'last-resort') {
      return offerOrNone(chooser.next(now, random, state));
    }
    if (state.terms === 'trial') {
      return {kind: 'hopeless', wait: state.shortestWait};
    }
    if (accepting.length === 0) {
      const fallback = this.fallback(now, random, state, chooseLeastOccupied);
      return offerOrNone(fallback ?? chooser.next(now, random, state));
    }
    const others = accepting.filter(({name}) => !state.rejectedBy.has(name));
    const available = isRetry(state) ? this.funded(now, state, others) : others;
    if (available.length === 0) {
      const reason =
        others.length === 0 ? 'upstream-refused' : 'retries-exhausted';
      return {kind: 'exhausted', reason};
    }
    if (state.slotRefusals >= SLOT_OFFERS) {
      return {kind: 'none'};
    }
    const untried = available.filter(({name}) => !state.tried.has(name));
    const cold = chooser.unexplored(now, random, state, untried);
    if (cold.length > 0) {
      return offerOrNone(cold[Math.floor(random() * cold.length)]);
    }
    chooser.readOwnLoads(now, available);
    return state.terms === 'immediate'
      ? this.offerFree(now, random, state, available, untried)
      : this.offerQueue(
          now,
          random,
          state,
          this.prospects(now, random, state, untried),
        );
  }

  /** An upstream for a further attempt; undefined if none is suitable. */
  retry(
    now: number,
    random: RandomSource,
    state: CallState,
  ): RoutingCandidate | undefined {
    if (this.context.chooser.available(now, state).length === 0) {
      return undefined;
    }
    const planned = this.next(now, random, state);
    return planned.kind === 'offer' ? planned.candidate : undefined;
  }

  /** An upstream with a free slot for a second attempt beside a running one. */
  hedge(
    now: number,
    random: RandomSource,
    state: CallState,
    excluded: ReadonlySet<string>,
  ): RoutingCandidate | undefined {
    const {chooser, settings} = this.context;
    const others = chooser
      .available(now, state)
      .filter(({name}) => !excluded.has(name));
    chooser.readOwnLoads(now, others);
    const funded = this.funded(now, state, others);
    const prospects = this.prospects(now, random, state, funded);
    const routing = chooser.routingContext(now, random, state);
    return chooseFree(routing, prospects, settings.isNear);
  }

  private funded(
    now: number,
    {exhaustedRefusals}: CallState,
    candidates: readonly RoutingCandidate[],
  ): readonly RoutingCandidate[] {
    const {settings, loads} = this.context;
    return settings.fundsRetries
      ? withRetriesLeft(loads.capacity, now, candidates, exhaustedRefusals > 0)
      : candidates;
  }

  private offerFree(
    now: number,
    random: RandomSource,
    state: CallState,
    available: readonly RoutingCandidate[],
    untried: readonly RoutingCandidate[],
  ): PlannedOffer {
    const {chooser, settings} = this.context;
    const routing = chooser.routingContext(now, random, state);
    const prospects = this.prospects(now, random, state, untried);
    const free =
      state.slotRefusals === 0
        ? chooseFree(routing, prospects, settings.isNear)
        : undefined;
    const candidate = free ?? this.fallback(now, random, state, chooseFree);
    if (candidate !== undefined) {
      return {kind: 'offer', candidate};
    }
    setTerms(state, 'may-wait');
    const known =
      untried.length === available.length
        ? prospects
        : this.prospects(now, random, state, available);
    return this.offerQueue(now, random, state, known);
  }

  /**
   * An upstream on a node that is stopping. It is healthy, but calls go there
   * only for want of a free slot elsewhere. Its guard lets no call wait, so that
   * one offer of a call is left for a queue.
   */
  private fallback(
    now: number,
    random: RandomSource,
    state: CallState,
    choose: typeof chooseFree,
  ): RoutingCandidate | undefined {
    const {chooser, settings} = this.context;
    if (state.slotRefusals >= SLOT_OFFERS - 1) {
      return undefined;
    }
    const usual = this.usual(state);
    const candidates = chooser.fallbacks(now, state, usual * USUAL_FACTOR);
    if (candidates.length === 0) {
      return undefined;
    }
    const routing = chooser.routingContext(now, random, state);
    const prospects = prospectsOf(routing, candidates, usual, () => true);
    return choose(routing, prospects, settings.isNear);
  }

  /** Asks for a place in a queue, or refuses the call if none is in time. */
  private offerQueue(
    now: number,
    random: RandomSource,
    state: CallState,
    prospects: readonly Prospect<RoutingCandidate>[],
  ): PlannedOffer {
    const {chooser, settings} = this.context;
    const routing = chooser.routingContext(now, random, state);
    const longest = this.longestWait(now, state);
    const queueWithin = (limit: number): RoutingCandidate | undefined =>
      chooseQueue(routing, prospects, settings.isNear, limit);
    const queue = queueWithin(longest);
    if (queue !== undefined) {
      return {kind: 'offer', candidate: queue};
    }
    const late = settings.offersLate
      ? queueWithin(this.longestLateWait(now, state))
      : undefined;
    if (late !== undefined) {
      setTerms(state, 'may-be-late');
      return {kind: 'offer', candidate: late};
    }
    return this.isHopeless(now, state, prospects, longest)
      ? {kind: 'hopeless', wait: shortestWait(prospects)}
      : offerOrNone(chooseLeastOccupied(routing, prospects, settings.isNear));
  }

  /** How long a call may wait and still be answered in time. */
  private longestWait(now: number, state: CallState): number {
    const {timing, recentRefusals} = this.context;
    const longest = timing.latestStart(state) - now;
    return recentRefusals.covers(now, state.call)
      ? longest / WAIT_MARGIN
      : longest;
  }

  /** How long a call that misses its goal may wait for a slot. */
  private longestLateWait(now: number, state: CallState): number {
    const latest = state.call.deadline - this.usual(state);
    const isHeld = !state.mayHaveRun;
    return (isHeld ? Math.min(state.heldUntil, latest) : latest) - now;
  }

  /**
   * Queues serve urgent calls and customers with few calls first. So a long wait
   * for usual calls only keeps a call from being offered if a guard has just
   * refused one like it.
   */
  private isHopeless(
    now: number,
    {call, slotRefusals}: CallState,
    prospects: readonly Prospect[],
    longestWait: number,
  ): boolean {
    const isExpectedLate =
      prospects.some(({wait}) => wait !== undefined) &&
      prospects.every(
        (prospect) =>
          (prospect.wait ?? Number.POSITIVE_INFINITY) > longestWait &&
          !hasFreeSlot(prospect),
      );
    return (
      prospects.length > 0 &&
      isExpectedLate &&
      (slotRefusals > 0 || this.context.recentRefusals.covers(now, call))
    );
  }

  private prospects(
    now: number,
    random: RandomSource,
    state: CallState,
    candidates: readonly RoutingCandidate[],
  ): readonly Prospect<RoutingCandidate>[] {
    const routing = this.context.chooser.routingContext(now, random, state);
    return prospectsOf(routing, candidates, this.usual(state));
  }

  private usual({call}: CallState): number {
    return this.context.timing.typicalDuration(call.route.name) ?? 0;
  }
}

function offerOn(
  terms: OfferTerms,
  state: CallState,
  candidate: RoutingCandidate,
): PlannedOffer {
  if (state.terms !== terms) {
    setTerms(state, terms);
  }
  return {kind: 'offer', candidate};
}

function offerOrNone(candidate: RoutingCandidate | undefined): PlannedOffer {
  return candidate === undefined ? {kind: 'none'} : {kind: 'offer', candidate};
}

function shortestWait(prospects: readonly Prospect[]): number {
  return Math.min(
    ...prospects.map(({wait = Number.POSITIVE_INFINITY}) => wait),
  );
}
