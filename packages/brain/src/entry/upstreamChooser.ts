// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which upstream a call is offered to next, and on which terms. */

import type {RoutingCandidate, UpstreamLoads} from '@lockpin/routing';
import type {RandomSource} from '@lockpin/types';
import {setTerms} from './callState.js';
import type {CallState} from './callState.js';
import type {BoxKnowledge, EntryCall, OfferTerms} from './entryMessages.js';
import type {EntrySettings} from './entrySettings.js';
import {SubsetCache} from './subsetCache.js';

/** Where an entry is, and what it goes by. */
export interface ChooserContext {
  readonly box: string;
  readonly dataCentre: string;
  readonly boxes: BoxKnowledge;
  readonly loads: UpstreamLoads;
  readonly settings: EntrySettings;
}

/** A call as far as the choice needs it; without a route for minting keys. */
export type ChosenCall = Pick<EntryCall, 'view'> &
  Partial<Pick<EntryCall, 'route'>>;

/** Chooses among the upstreams of the subset that this entry calls. */
export class UpstreamChooser {
  private readonly subsets: SubsetCache;

  constructor(private readonly context: ChooserContext) {
    const {box, dataCentre, settings} = context;
    this.subsets = new SubsetCache(box, dataCentre, settings.subsetSizes);
  }

  /** The best upstream of all but those excluded. */
  choose(
    now: number,
    random: RandomSource,
    call: ChosenCall,
    excluded: ReadonlySet<string>,
  ): RoutingCandidate | undefined {
    const candidates = this.candidates(call, excluded);
    return this.among(now, random, false, candidates);
  }

  /** The next upstream, on easier terms when none is left on the present ones. */
  next(
    now: number,
    random: RandomSource,
    state: CallState,
  ): RoutingCandidate | undefined {
    const {offersOnEachTerms} = this.context.settings;
    const found =
      state.tried.size < offersOnEachTerms
        ? this.untried(now, random, state)
        : undefined;
    if (found !== undefined) {
      return found;
    }
    const easier = this.easierTerms(now, state);
    if (easier === undefined) {
      return undefined;
    }
    setTerms(state, easier);
    return this.next(now, random, state);
  }

  /** An upstream that the call was not offered to on the present terms. */
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
    const open = this.open(now, state).filter(
      ({name}) => !tried.has(name) && this.mayTake(now, name, terms),
    );
    return this.among(now, random, mayProbe(state), open);
  }

  /** An offer that asks for a free slot is not made where none was free. */
  private mayTake(now: number, name: string, terms: OfferTerms): boolean {
    return terms !== 'immediate' || !this.context.loads.isFull(name, now);
  }

  /**
   * What to ask for when offers on the present terms were in vain. A late answer
   * is better than none, and takes no slot from calls that can be in time. A doubted
   * upstream is asked only when there is no other: one that is merely busy will
   * have room again.
   */
  private easierTerms(now: number, state: CallState): OfferTerms | undefined {
    switch (state.terms) {
      case 'immediate':
        return 'may-wait';
      case 'may-wait':
        if (this.open(now, state).length === 0) {
          return 'last-resort';
        }
        return this.context.settings.offersLate && state.isShortOfTime
          ? 'may-be-late'
          : undefined;
      case 'may-be-late':
      case 'last-resort':
        return undefined;
    }
  }

  /** Upstreams of the service that this entry does not route around. */
  private open(now: number, state: CallState): readonly RoutingCandidate[] {
    const {loads} = this.context;
    return this.candidates(state.call, state.ran).filter(
      ({name}) => !loads.isAvoided(name, now, mayProbe(state)),
    );
  }

  private among(
    now: number,
    random: RandomSource,
    mayProbe: boolean,
    candidates: readonly RoutingCandidate[],
  ): RoutingCandidate | undefined {
    const {box, dataCentre, loads, settings} = this.context;
    return settings.choose(
      {now, random, dataCentre, box, loads, mayProbe},
      candidates,
    );
  }

  private candidates(
    {view}: ChosenCall,
    excluded: ReadonlySet<string>,
  ): readonly RoutingCandidate[] {
    const {boxes} = this.context;
    return this.subsets
      .subset(view)
      .filter(({name, box}) => !excluded.has(name) && boxes.isUsable(box));
  }
}

/** A call that already failed once had better go where calls end well. */
function mayProbe({call, ran}: CallState): boolean {
  return call.route.spec.repetition === 'repeatable' && ran.size === 0;
}
