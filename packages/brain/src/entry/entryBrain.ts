// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The entry of a node: routes calls, retries them, and refuses truthfully. */

import {UpstreamLoads} from '@lockpin/routing';
import type {RoutingCandidate} from '@lockpin/routing';
import type {RandomSource, Refusal} from '@lockpin/types';
import {AnsweredAttempts} from './answeredAttempts.js';
import {AttemptNews} from './attemptNews.js';
import {AttemptTiming} from './attemptTiming.js';
import {CallBooks, refuse} from './callBooks.js';
import {CallOffers, NO_UPSTREAM_RETRY_MILLISECONDS} from './callOffers.js';
import {arrivedCall} from './callState.js';
import {isHeldUp} from './callState.js';
import type {CallState} from './callState.js';
import type {
  BoxKnowledge,
  EntryAction,
  EntryCall,
  EntryEvent,
} from './entryMessages.js';
import {DEFAULT_ENTRY_SETTINGS, FULL_REFUSALS} from './entrySettings.js';
import type {EntrySettings} from './entrySettings.js';
import {OverdueAttempts} from './overdueAttempts.js';
import {RetryPolicy} from './retryPolicy.js';
import {UpstreamChooser} from './upstreamChooser.js';
import type {ChosenCall} from './upstreamChooser.js';

/** When a caller over its share may come back, in milliseconds. */
const OVER_SHARE_RETRY_MILLISECONDS = 100;

/** Decides by (now, random, event) alone. */
export class EntryBrain {
  readonly loads: UpstreamLoads;
  private readonly retries: RetryPolicy;
  private readonly books: CallBooks;
  private readonly chooser: UpstreamChooser;
  private readonly offers: CallOffers;
  private readonly news: AttemptNews;
  private readonly overdueAttempts: OverdueAttempts;
  private readonly answers: AnsweredAttempts;

  constructor(
    box: string,
    dataCentre: string,
    boxes: BoxKnowledge,
    private readonly settings: EntrySettings = DEFAULT_ENTRY_SETTINGS,
  ) {
    const loads = new UpstreamLoads(settings.linkPatience);
    const retries = new RetryPolicy(settings);
    const timing = new AttemptTiming(settings, retries);
    const place = {box, dataCentre, boxes, loads};
    const chooser = new UpstreamChooser({...place, settings});
    const news = new AttemptNews(loads, timing);
    const overdueAttempts = new OverdueAttempts(loads, retries, chooser);
    const books = new CallBooks(loads, overdueAttempts);
    const means = {loads, retries, chooser, books, overdueAttempts};
    const offers = new CallOffers({...means, boxes, settings, timing});
    this.answers = new AnsweredAttempts({...means, offers, news});
    this.loads = loads;
    this.retries = retries;
    this.books = books;
    this.chooser = chooser;
    this.offers = offers;
    this.news = news;
    this.overdueAttempts = overdueAttempts;
  }

  /** Calls that began here and were not taken by the first upstream they went to. */
  get heldUpCalls(): number {
    const {firstTerms} = this.settings;
    return this.books.countOf((state) => isHeldUp(state, firstTerms));
  }

  get callCount(): number {
    return this.books.count;
  }

  /** Takes in an event; events of calls that have ended lead to nothing. */
  handle(
    now: number,
    random: RandomSource,
    event: EntryEvent,
  ): readonly EntryAction[] {
    if (event.kind === 'call-arrived') {
      return this.arrived(now, random, event.call);
    }
    const state = this.books.get(event.callId);
    return state === undefined ? [] : this.goOn(now, random, state, event);
  }

  /** Chooses an upstream as a call would; used to mint once keys. */
  chooseFor(
    now: number,
    random: RandomSource,
    call: ChosenCall,
    tried: ReadonlySet<string> = new Set(),
  ): RoutingCandidate | undefined {
    return this.chooser.choose(now, random, call, tried);
  }

  private arrived(
    now: number,
    random: RandomSource,
    call: EntryCall,
  ): readonly EntryAction[] {
    if (!this.books.takeShare(call)) {
      const after = OVER_SHARE_RETRY_MILLISECONDS;
      return [refuse(call.id, 'customer-over-share', 'not-run', after)];
    }
    this.retries.firstAttempt(now, call);
    const state = arrivedCall(now, call, this.settings);
    this.books.add(state);
    if (now >= call.deadline) {
      return this.books.finalRefusal(state, 'deadline-passed');
    }
    return call.onceKey === undefined
      ? this.offers.next(now, random, state, 'no-upstream')
      : this.offers.attemptAtHome(state, call.onceKey);
  }

  /** Something happened to a call that has not ended. */
  private goOn(
    now: number,
    random: RandomSource,
    state: CallState,
    event: Exclude<EntryEvent, {readonly kind: 'call-arrived'}>,
  ): readonly EntryAction[] {
    switch (event.kind) {
      case 'attempt-answered':
        return this.answers.answered(now, random, state, event);
      case 'attempt-refused':
        this.books.attemptEnded(state);
        this.news.refusalHeard(now, state, event);
        return this.refused(now, random, state, event.refusal);
      case 'attempt-lost':
        this.books.attemptEnded(state);
        this.loads.linkFailed(state.upstream, now, random());
        return this.lost(now, random, state, event.wasSent);
      case 'pause-ended':
        return this.offers.pauseEnded(now, random, state);
      case 'attempt-silent':
        return this.silent(now, random, state);
      case 'attempt-overdue':
        return this.answers.overdue(now, random, state);
      case 'overdue-answered':
        return this.answers.overdueAnswered(now, state, event);
      case 'overdue-ended':
        return this.books.overdueEnded(state);
      case 'given-up':
        return this.givenUp(now, random, state, event);
      case 'caller-left':
        return [
          ...this.overdueAttempts.cancelAll(state),
          ...this.books.ended(state),
        ];
      case 'answer-ended':
        return this.books.ended(state);
    }
  }

  /** The guard said nothing, and was not told to go: the call did not run. */
  private silent(
    now: number,
    random: RandomSource,
    state: CallState,
  ): readonly EntryAction[] {
    this.books.attemptEnded(state);
    state.silences += 1;
    this.loads.linkFailed(state.upstream, now, random());
    const cancel: EntryAction = {
      kind: 'cancel-attempt',
      callId: state.call.id,
    };
    const reason = 'guard-silent';
    const next = this.retries.takeReroute(state)
      ? this.offers.next(now, random, state, reason)
      : this.offers.pauseOrRefuse(
          now,
          state,
          reason,
          NO_UPSTREAM_RETRY_MILLISECONDS,
        );
    return [cancel, ...next];
  }

  private refused(
    now: number,
    random: RandomSource,
    state: CallState,
    refusal: Refusal,
  ): readonly EntryAction[] {
    const {reason, outcome, retryAfterMilliseconds} = refusal;
    state.isShortOfTime ||= reason === 'deadline-too-short';
    if (FULL_REFUSALS.has(reason)) {
      state.shortestWait = Math.min(state.shortestWait, retryAfterMilliseconds);
    }
    if (outcome === 'unknown') {
      state.mayHaveRun = true;
      state.ran.add(state.upstream);
    }
    if (state.call.onceKey !== undefined) {
      return this.books.final(state, reason, outcome, retryAfterMilliseconds);
    }
    if (this.retries.mayGoElsewhere(now, state, refusal)) {
      return this.offers.next(
        now,
        random,
        state,
        reason,
        retryAfterMilliseconds,
      );
    }
    return this.settings.freeRefusals.has(reason)
      ? this.offers.pauseOrRefuse(now, state, reason, retryAfterMilliseconds)
      : this.books.finalRefusal(state, reason, retryAfterMilliseconds);
  }

  private lost(
    now: number,
    random: RandomSource,
    state: CallState,
    wasSent: boolean,
  ): readonly EntryAction[] {
    if (wasSent) {
      state.mayHaveRun = true;
      state.ran.add(state.upstream);
    }
    if (state.call.onceKey !== undefined) {
      return this.books.homeRefusal(
        state,
        wasSent ? 'guard-lost' : 'once-home-unreachable',
      );
    }
    const reason = wasSent ? 'guard-lost' : 'guard-unreachable';
    const isFree = !wasSent && this.retries.takeReroute(state);
    if (
      isFree ||
      (this.retries.mayRepeat(state) && this.retries.payRetry(now, state))
    ) {
      return this.offers.next(now, random, state, reason);
    }
    return this.books.finalRefusal(state, reason);
  }

  private givenUp(
    now: number,
    random: RandomSource,
    state: CallState,
    {reason, wasSent}: EntryEvent & {readonly kind: 'given-up'},
  ): readonly EntryAction[] {
    if (state.isAttempting) {
      this.loads.linkFailed(state.upstream, now, random());
      state.mayHaveRun ||= wasSent;
    }
    const {onceKey} = state.call;
    const cancels = this.overdueAttempts.cancelAll(state);
    this.overdueAttempts.over(state);
    const after = this.offers.quarantinedFor(now, state);
    const refusal =
      onceKey === undefined
        ? this.books.finalRefusal(state, reason, after)
        : this.books.homeRefusal(state, reason);
    return [...cancels, ...refusal];
  }
}
