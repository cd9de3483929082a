// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which calls an entry may send again, and what pays for it. */

import type {RetryAllowance} from '@lockpin/routing';
import type {Refusal} from '@lockpin/types';
import type {EntryCall} from './entryMessages.js';
import {LASTING_REFUSALS} from './entrySettings.js';
import type {EntrySettings} from './entrySettings.js';

/** Attempts of one call that may be paid for where its route does not say. */
const MOST_PAID_ATTEMPTS = 3;

/** What the policy keeps of a call. */
export interface RetryState {
  readonly call: EntryCall;
  /** Upstreams that may have run the call. */
  readonly ran: ReadonlySet<string>;
  paidAttempts: number;
  reroutes: number;
}

/** One retry budget for each service. */
export class RetryPolicy {
  private readonly budgets = new Map<string, RetryAllowance>();

  constructor(private readonly settings: EntrySettings) {}

  /** A call adds its route's share to the budget. */
  firstAttempt(now: number, call: EntryCall): void {
    const budget = this.budget(call);
    budget.firstAttempt(now, call.route.spec.retryShare);
    if (call.mayBeRepeat === true) {
      budget.repeatArrived(now);
    }
  }

  /** Whether a refused call may be sent elsewhere; pays for it when so. */
  mayGoElsewhere(now: number, state: RetryState, refusal: Refusal): boolean {
    const {reason, outcome} = refusal;
    if (!state.call.isReplayable) {
      return false;
    }
    if (this.settings.freeRefusals.has(reason) && outcome === 'not-run') {
      return this.takeReroute(state);
    }
    return (
      !LASTING_REFUSALS.has(reason) &&
      (outcome === 'not-run' || this.mayRepeat(state)) &&
      this.payRetry(now, state)
    );
  }

  /** Whether a call may run a second time at all. */
  mayRepeat({call}: RetryState): boolean {
    return call.isReplayable && call.route.spec.repetition === 'repeatable';
  }

  /** Takes one of the free changes of upstream. */
  takeReroute(state: RetryState): boolean {
    if (!state.call.isReplayable || this.isRerouted(state)) {
      return false;
    }
    state.reroutes += 1;
    return true;
  }

  /** Whether a further attempt may be paid for, beside those still running. */
  mayPay({call, ran, paidAttempts}: RetryState, running = 0): boolean {
    const mostRuns = call.route.spec.mostAttempts ?? MOST_PAID_ATTEMPTS;
    return (
      paidAttempts < MOST_PAID_ATTEMPTS &&
      ran.size + running < mostRuns &&
      !call.isCallersRetry
    );
  }

  /** Takes one attempt out of the service's budget. */
  payRetry(now: number, state: RetryState): boolean {
    if (!this.mayPay(state) || !this.budget(state.call).takeRetry(now)) {
      return false;
    }
    state.paidAttempts += 1;
    return true;
  }

  private isRerouted({reroutes}: RetryState): boolean {
    return reroutes >= this.settings.mostReroutes;
  }

  private budget(call: EntryCall): RetryAllowance {
    const found = this.budgets.get(call.view.name);
    if (found !== undefined) {
      return found;
    }
    const made = this.settings.createBudget();
    this.budgets.set(call.view.name, made);
    return made;
  }
}
