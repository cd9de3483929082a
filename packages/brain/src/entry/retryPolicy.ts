// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Decides which calls may be retried, within a retry budget per service. */

import type {RetryAllowance} from '@lockpin/routing';
import type {Refusal} from '@lockpin/types';
import {canBeSentAgain, canBeSentTwice} from './bodyReplay.js';
import type {BodyState} from './bodyReplay.js';
import type {EntryCall} from './entryMessages.js';
import {NON_RETRYABLE_REFUSALS} from './entrySettings.js';
import type {EntrySettings} from './entrySettings.js';

/** Most paid attempts of a call; also its runs if the route sets no maximum. */
const MAXIMUM_PAID_ATTEMPTS = 3;

/** Retry state of a call. */
export interface RetryState extends BodyState {
  readonly call: EntryCall;
  /** Upstreams that may have run the call. */
  readonly ran: ReadonlySet<string>;
  hasBodyBegun: boolean;
  paidAttempts: number;
  reroutes: number;
}

/** Retry rules of an entry, with one retry budget for each service. */
export class RetryPolicy {
  private readonly budgets = new Map<string, RetryAllowance>();

  constructor(private readonly settings: EntrySettings) {}

  /** Adds the retry share of a call's route to the budget. */
  firstAttempt(now: number, call: EntryCall): void {
    const budget = this.budget(call);
    budget.firstAttempt(now, call.route.spec.retryShare);
    if (call.mayBeRepeat === true) {
      budget.repeatArrived(now);
    }
  }

  /** Takes a free reroute or a retry for a refused call; false if neither. */
  takeRerouteOrRetry(
    now: number,
    state: RetryState,
    refusal: Refusal,
  ): boolean {
    const {reason, outcome} = refusal;
    if (!canBeSentAgain(state)) {
      return false;
    }
    if (
      this.settings.freeRerouteRefusals.has(reason) &&
      outcome === 'not-run'
    ) {
      return this.takeReroute(state);
    }
    return (
      !NON_RETRYABLE_REFUSALS.has(reason) &&
      (outcome === 'not-run' || this.isRepeatable(state)) &&
      this.payRetry(now, state)
    );
  }

  /** Whether a call may run more than once. */
  isRepeatable(state: RetryState): boolean {
    const {repetition} = state.call.route.spec;
    return canBeSentTwice(state) && repetition === 'repeatable';
  }

  /** Takes one of the free reroutes of a call; false if none is left. */
  takeReroute(state: RetryState): boolean {
    if (!canBeSentAgain(state) || this.isRerouteLimitReached(state)) {
      return false;
    }
    state.reroutes += 1;
    return true;
  }

  /** Whether a call may have a further paid attempt beside those running. */
  hasAttemptsLeft({call, ran, paidAttempts}: RetryState, running = 0): boolean {
    const maximumRuns = call.route.spec.mostAttempts ?? MAXIMUM_PAID_ATTEMPTS;
    return (
      paidAttempts < MAXIMUM_PAID_ATTEMPTS &&
      ran.size + running < maximumRuns &&
      !call.isCallersRetry
    );
  }

  /** Takes a retry from the service's budget; false if not allowed. */
  payRetry(now: number, state: RetryState): boolean {
    if (!this.hasAttemptsLeft(state) || !this.takeFromBudget(now, state.call)) {
      return false;
    }
    state.paidAttempts += 1;
    return true;
  }

  private takeFromBudget(now: number, call: EntryCall): boolean {
    return this.budget(call).takeRetry(now, call.route.spec.priority);
  }

  private isRerouteLimitReached({reroutes}: RetryState): boolean {
    return reroutes >= this.settings.maximumReroutes;
  }

  private budget(call: EntryCall): RetryAllowance {
    const existing = this.budgets.get(call.view.name);
    if (existing !== undefined) {
      return existing;
    }
    const created = this.settings.createRetryBudget();
    this.budgets.set(call.view.name, created);
    return created;
  }
}
