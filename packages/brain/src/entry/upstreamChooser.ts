// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Chooses the next upstream of a call and the terms of the offer. */

import type {
  RoutingCandidate,
  RoutingContext,
  UnusedReason,
  UpstreamLoads,
} from '@lockpin/routing';
import type {RandomSource} from '@lockpin/types';
import {setTerms} from './callState.js';
import type {CallState} from './callState.js';
import type {BoxAvailability, EntryCall, OfferTerms} from './entryMessages.js';
import type {EntrySettings} from './entrySettings.js';
import {SubsetCache} from './subsetCache.js';

/** Location and dependencies of an entry. */
export interface ChooserContext {
  readonly box: string;
  readonly dataCentre: string;
  readonly boxes: BoxAvailability;
  readonly loads: UpstreamLoads;
  readonly settings: EntrySettings;
}

/** The part of a call that routing needs; keys are issued without a route. */
export type RoutingRequest = Pick<EntryCall, 'view'> &
  Partial<Pick<EntryCall, 'route'>>;

/** Number of upstreams that an entry does not use, by reason. */
export type UnusedUpstreams = Readonly<
  Partial<Record<UnusedReason | 'box-unusable' | 'cold', number>>
>;

/** Share of the upstreams of a service that are doubted for a common cause. */
const MOSTLY_DOUBTED = 0.5;

/** Offers of a call on its terms after which no doubted upstream is asked. */
const LAST_RESORT_OFFERS = 3;

/** Doubted upstreams that a call is offered to as a trial, at most. */
const TRIAL_OFFERS = 2;

/** A doubted upstream is not asked for a trial this soon after its last hint. */
const TRIAL_PAUSE_MILLISECONDS = 500;

/** Chooses from the subset of upstreams that this entry calls. */
export class UpstreamChooser {
  private readonly subsets: SubsetCache;

  constructor(private readonly context: ChooserContext) {
    const {box, dataCentre, settings} = context;
    this.subsets = new SubsetCache(box, dataCentre, settings.subsetSizes);
  }

  /** The best upstream that is not excluded. */
  choose(
    now: number,
    random: RandomSource,
    call: RoutingRequest,
    excluded: ReadonlySet<string>,
  ): RoutingCandidate | undefined {
    const candidates = this.candidates(call, excluded);
    return this.pick(now, random, false, candidates);
  }

  /** Counts the upstreams of a service that this entry does not use, for logs. */
  unused(now: number, view: RoutingRequest['view']): UnusedUpstreams {
    const {boxes, loads} = this.context;
    const counts: Partial<Record<keyof UnusedUpstreams, number>> = {};
    for (const {name, box, coldUntil} of this.subsets.subset(view)) {
      const reason = boxes.isUsable(box)
        ? loads.unusedReason(name, now)
        : 'box-unusable';
      if (reason !== undefined) {
        const isCold = reason === 'not-called' && now < coldUntil;
        const key = isCold ? 'cold' : reason;
        counts[key] = (counts[key] ?? 0) + 1;
      }
    }
    return counts;
  }

  /** The next upstream; relaxes the terms when none is left. */
  next(
    now: number,
    random: RandomSource,
    state: CallState,
  ): RoutingCandidate | undefined {
    const {offersPerTerms} = this.context.settings;
    const found =
      state.tried.size < offersPerTerms
        ? this.untried(now, random, state)
        : undefined;
    if (found !== undefined) {
      return found;
    }
    const relaxed = this.relaxedTerms(now, state);
    if (relaxed === undefined) {
      return undefined;
    }
    setTerms(state, relaxed);
    return this.next(now, random, state);
  }

  /** An upstream that has not been offered the call on the current terms. */
  untried(
    now: number,
    random: RandomSource,
    state: CallState,
  ): RoutingCandidate | undefined {
    const {call, tried, ran, terms} = state;
    if (terms === 'last-resort') {
      const excluded = ran.size === 0 ? tried : new Set([...tried, ...ran]);
      return this.choose(now, random, call, excluded);
    }
    const available = this.available(now, state).filter(
      ({name}) => !tried.has(name) && this.mayTake(now, name, terms),
    );
    const unexplored = this.unexplored(now, random, state, available);
    return unexplored.length > 0
      ? unexplored[Math.floor(random() * unexplored.length)]
      : this.pick(now, random, mayProbe(state), available);
  }

  /** Cold local upstreams that a new call explores. */
  unexplored(
    now: number,
    random: RandomSource,
    {terms, tried, pauses, ran}: CallState,
    available: readonly RoutingCandidate[],
  ): readonly RoutingCandidate[] {
    const {settings, dataCentre: ownDataCentre, loads} = this.context;
    const isFirstOffer =
      terms === 'immediate' &&
      tried.size === 0 &&
      pauses === 0 &&
      ran.size === 0;
    return settings.explores && isFirstOffer
      ? available.filter(
          ({name, dataCentre, coldUntil}) =>
            dataCentre === ownDataCentre &&
            now < coldUntil &&
            loads.isDueForExploration(name, now, random()),
        )
      : [];
  }

  /** Skips full upstreams for offers that need a free slot at once. */
  private mayTake(now: number, name: string, terms: OfferTerms): boolean {
    return terms !== 'immediate' || !this.context.loads.isFull(name, now);
  }

  /**
   * Terms to use when all offers on the current ones were refused. A late
   * answer is better than none, and takes no slot from calls that can be in
   * time. A doubted upstream is used only when there is no other, since one
   * that is merely busy will have free slots again.
   */
  private relaxedTerms(now: number, state: CallState): OfferTerms | undefined {
    switch (state.terms) {
      case 'immediate':
        return 'may-wait';
      case 'may-wait':
        if (this.available(now, state).length === 0) {
          return 'last-resort';
        }
        return this.context.settings.offersLate && state.isShortOfTime
          ? 'may-be-late'
          : undefined;
      case 'may-be-late':
      case 'trial':
      case 'last-resort':
        return undefined;
    }
  }

  /**
   * A doubted upstream that has not been offered the call, if most upstreams of
   * the service are doubted: the cause then lies in the service, and those that
   * are not doubted cannot take the calls of all.
   */
  mostlyDoubted(
    now: number,
    random: RandomSource,
    state: CallState,
  ): RoutingCandidate | undefined {
    const all = this.candidates(state.call, state.ran);
    const doubted = this.doubted(now, all);
    return doubted.length >= all.length * MOSTLY_DOUBTED &&
      state.tried.size < LAST_RESORT_OFFERS
      ? this.pickUntried(now, random, state, doubted)
      : undefined;
  }

  /** A doubted upstream that a call may try instead of being refused. */
  trial(
    now: number,
    random: RandomSource,
    state: CallState,
  ): RoutingCandidate | undefined {
    if (state.terms === 'trial' && state.tried.size >= TRIAL_OFFERS) {
      return undefined;
    }
    const {loads} = this.context;
    const all = this.candidates(state.call, state.ran);
    const due = this.doubted(now, all).filter(
      ({name}) =>
        (loads.lastHint(name, now)?.age ?? 0) >= TRIAL_PAUSE_MILLISECONDS,
    );
    return this.pickUntried(now, random, state, due);
  }

  private doubted(
    now: number,
    candidates: readonly RoutingCandidate[],
  ): readonly RoutingCandidate[] {
    const {loads} = this.context;
    return candidates.filter(
      ({name}) => loads.unusedReason(name, now) === 'doubted',
    );
  }

  private pickUntried(
    now: number,
    random: RandomSource,
    {tried, rejectedBy}: CallState,
    candidates: readonly RoutingCandidate[],
  ): RoutingCandidate | undefined {
    const untried = candidates.filter(
      ({name}) => !tried.has(name) && !rejectedBy.has(name),
    );
    return this.pick(now, random, false, untried);
  }

  /** Reads the current load of upstreams on the own box from its guard. */
  readOwnLoads(now: number, candidates: readonly RoutingCandidate[]): void {
    const {box: ownBox, loads, settings} = this.context;
    for (const {name, box} of candidates) {
      const hint = box === ownBox ? settings.ownHint(now, name) : undefined;
      if (hint !== undefined) {
        loads.capacity.ownHinted(name, now, hint);
      }
    }
  }

  /** Upstreams of the service that this entry does not avoid. */
  available(now: number, state: CallState): readonly RoutingCandidate[] {
    const {loads} = this.context;
    return this.candidates(state.call, state.ran).filter(
      ({name}) => !loads.isAvoided(name, now, mayProbe(state)),
    );
  }

  /**
   * Upstreams on nodes that are stopping, which still take a call that ends
   * within some milliseconds.
   */
  fallbacks(
    now: number,
    state: CallState,
    milliseconds: number,
  ): readonly RoutingCandidate[] {
    const {loads} = this.context;
    return this.candidates(state.call, state.ran).filter(
      ({name}) =>
        !state.tried.has(name) &&
        !state.rejectedBy.has(name) &&
        loads.isFallback(name, now, milliseconds),
    );
  }

  /** What routing needs to know of the entry and a call. */
  routingContext(
    now: number,
    random: RandomSource,
    state: CallState,
  ): RoutingContext {
    return this.contextFor(now, random, mayProbe(state));
  }

  private contextFor(
    now: number,
    random: RandomSource,
    mayProbe: boolean,
  ): RoutingContext {
    const {box, dataCentre, loads} = this.context;
    return {now, random, dataCentre, box, loads, mayProbe};
  }

  private pick(
    now: number,
    random: RandomSource,
    mayProbe: boolean,
    candidates: readonly RoutingCandidate[],
  ): RoutingCandidate | undefined {
    const context = this.contextFor(now, random, mayProbe);
    return this.context.settings.choose(context, candidates);
  }

  private candidates(
    {view}: RoutingRequest,
    excluded: ReadonlySet<string>,
  ): readonly RoutingCandidate[] {
    const {boxes} = this.context;
    return this.subsets
      .subset(view)
      .filter(({name, box}) => !excluded.has(name) && boxes.isUsable(box));
  }
}

/** Only repeatable calls probe, and not after an attempt that failed. */
function mayProbe({call, ran}: CallState): boolean {
  return call.route.spec.repetition === 'repeatable' && ran.size === 0;
}
