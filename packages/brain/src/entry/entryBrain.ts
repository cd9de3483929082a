// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The entry of a node: routes calls, retries them, and refuses truthfully. */

import {ServiceCrowding, UpstreamLoads} from '@lockpin/routing';
import type {RoutingCandidate} from '@lockpin/routing';
import type {RandomSource, Refusal} from '@lockpin/types';
import {FIRST_FAILED_STATUS} from '@lockpin/utils';
import {AttemptNews} from './attemptNews.js';
import {AttemptTiming} from './attemptTiming.js';
import {CallBooks, refuse} from './callBooks.js';
import {CallOffers, NO_UPSTREAM_RETRY_MILLISECONDS} from './callOffers.js';
import {arrivedCall} from './callState.js';
import type {CallState} from './callState.js';
import type {
  BoxKnowledge,
  EntryAction,
  EntryCall,
  EntryEvent,
} from './entryMessages.js';
import {DEFAULT_ENTRY_SETTINGS} from './entrySettings.js';
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

  constructor(
    box: string,
    dataCentre: string,
    boxes: BoxKnowledge,
    private readonly settings: EntrySettings = DEFAULT_ENTRY_SETTINGS,
  ) {
    this.loads = new UpstreamLoads(settings.linkPatience);
    this.retries = new RetryPolicy(settings);
    const timing = new AttemptTiming(settings, this.retries);
    const {loads} = this;
    const crowding = new ServiceCrowding();
    this.chooser = new UpstreamChooser({
      box,
      dataCentre,
      boxes,
      loads,
      crowding,
      settings,
    });
    this.news = new AttemptNews(loads, timing, crowding);
    this.overdueAttempts = new OverdueAttempts(
      loads,
      this.retries,
      this.chooser,
    );
    this.books = new CallBooks(loads, this.overdueAttempts);
    this.offers = new CallOffers({
      boxes,
      settings,
      loads,
      chooser: this.chooser,
      books: this.books,
      timing,
    });
  }

  get callCount(): number {
    return this.books.count;
  }

  handle(
    now: number,
    random: RandomSource,
    event: EntryEvent,
  ): readonly EntryAction[] {
    if (event.kind === 'call-arrived') {
      return this.arrived(now, random, event.call);
    }
    const state = this.books.get(event.callId);
    if (state === undefined) {
      return [];
    }
    switch (event.kind) {
      case 'attempt-answered':
        this.books.attemptEnded(state);
        this.news.heard(now, state.upstream, event.hint);
        this.news.timed(state, event);
        return this.answered(now, random, state, event);
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
        return this.overdue(now, random, state);
      case 'overdue-answered':
        return this.overdueAnswered(now, state, event);
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

  private overdue(
    now: number,
    random: RandomSource,
    state: CallState,
  ): readonly EntryAction[] {
    const again = this.overdueAttempts.offerElsewhere(now, random, state);
    if (again === undefined) {
      return [];
    }
    return [
      {kind: 'keep-overdue', callId: state.call.id},
      this.offers.send(state, again.name, again.box, again.name),
    ];
  }

  private overdueAnswered(
    now: number,
    state: CallState,
    event: EntryEvent & {readonly kind: 'overdue-answered'},
  ): readonly EntryAction[] {
    const {callId, status} = event;
    this.news.heard(now, state.overdueAt ?? '', event.hint);
    this.news.timed(state, event);
    if (status >= FIRST_FAILED_STATUS) {
      return this.books.overdueEnded(state);
    }
    this.overdueAttempts.over(state);
    this.books.attemptEnded(state);
    return [
      {kind: 'cancel-attempt', callId},
      {kind: 'pass-overdue-answer', callId},
    ];
  }

  private answered(
    now: number,
    random: RandomSource,
    state: CallState,
    event: EntryEvent & {readonly kind: 'attempt-answered'},
  ): readonly EntryAction[] {
    const {callId, status, isWhole} = event;
    const isWorthRetry = status >= FIRST_FAILED_STATUS && isWhole;
    state.mayHaveRun = true;
    state.ran.add(state.upstream);
    if (
      isWorthRetry &&
      this.retries.mayRepeat(state) &&
      this.retries.payRetry(now, state)
    ) {
      const again = this.chooser.untried(now, random, state);
      if (again !== undefined) {
        return [this.offers.send(state, again.name, again.box, again.name)];
      }
    }
    const pass: EntryAction = {kind: 'pass-answer', callId};
    if (state.overdueAt === undefined) {
      return [pass];
    }
    if (isWorthRetry) {
      state.pending = pass;
      return [];
    }
    return [pass, {kind: 'cancel-overdue', callId}];
  }

  private refused(
    now: number,
    random: RandomSource,
    state: CallState,
    refusal: Refusal,
  ): readonly EntryAction[] {
    const {reason, outcome, retryAfterMilliseconds} = refusal;
    state.isShortOfTime ||= reason === 'deadline-too-short';
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
    const refusal =
      onceKey === undefined
        ? this.books.finalRefusal(state, reason)
        : this.books.homeRefusal(state, reason);
    return [...cancels, ...refusal];
  }
}
