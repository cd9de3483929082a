// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Limits retries to a share of the calls plus a constant in every window,
 * wherever it starts. The limits of several budgets add up: the windows of a
 * fleet hold at most the sum of what the budgets of its guards allow.
 */

import type {RetryAllowance} from './retryBudget.js';
import {RetryPriorities} from './retryPriorities.js';
import {SlidingMinimum} from './slidingMinimum.js';
import type {WindowedBudgetSettings} from './windowedRetryBudget.js';

/** Limits of one budget. */
export interface EveryWindowLimits extends WindowedBudgetSettings {
  /**
   * Constant part that is kept for urgent calls. The less urgent ones leave it
   * unused while no urgent ones ask.
   */
  readonly urgentExtra: number;
  /**
   * Constant part that is kept for repeats of other parties, which arrive
   * whether or not a retry is left. Kept only if one has arrived in the window.
   */
  readonly repeatExtra: number;
  /**
   * Whether calls alone may earn single retries. A retry that is paid for by
   * earlier calls exceeds the limit of a window that starts between them and
   * it, by one at most for each budget that has this setting.
   */
  readonly savesRetry: boolean;
}

/** The limits of a budget over time. */
export interface EveryWindowSettings {
  /** Read on each use: operators change the limits at run time. */
  readonly at: (now: number) => EveryWindowLimits;
  /** See RetryAllowance. */
  readonly clockGained: (milliseconds: number) => void;
}

/** Sums of ratios are not exact. */
const ROUNDING_ERROR = 1e-6;

/**
 * Retries minus credit for calls may not grow by more than the constant in any
 * window that ends now. As this holds at each retry, it holds for all windows:
 * between two retries, calls only add credit.
 */
export class EveryWindowRetryBudget implements RetryAllowance {
  /** Retries minus credit for calls, counted from an arbitrary value. */
  private balance = 0;
  private balances = new SlidingMinimum(0);
  private readonly priorities = new RetryPriorities();
  /** Credit of calls alone, up to one retry. */
  private earned = 0;
  private lastRepeatAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly settings: EveryWindowSettings) {}

  firstAttempt(now: number): void {
    const limits = this.settings.at(now);
    this.changeBalance(now, limits, -limits.ratio);
    this.earned = Math.min(1, this.earned + limits.ratio);
  }

  /** Counts against the limit even when it is already reached. */
  repeatArrived(now: number): void {
    this.lastRepeatAt = now;
    this.spend(now);
  }

  hasRetry(now: number, priority: number): boolean {
    const limits = this.settings.at(now);
    this.priorities.asked(now, priority);
    const since = now - limits.windowMilliseconds;
    const isUrgent = this.priorities.isUrgent(since, priority);
    const reserved = isUrgent ? 0 : limits.urgentExtra;
    return this.available(now, limits, reserved) >= 1;
  }

  takeRetry(now: number, priority: number): boolean {
    if (!this.hasRetry(now, priority)) {
      return false;
    }
    this.spend(now);
    return true;
  }

  /** Retries that are left to urgent calls. */
  retriesLeft(now: number): number {
    return Math.max(0, this.available(now, this.settings.at(now), 0));
  }

  /** All events keep their age: a window that spans the gap holds no more. */
  clockGained(milliseconds: number): void {
    this.settings.clockGained(milliseconds);
    this.balances.clockGained(milliseconds);
    this.priorities.clockGained(milliseconds);
    this.lastRepeatAt += milliseconds;
  }

  /** Whole retries that are available without the reserved ones. */
  private available(
    now: number,
    {windowMilliseconds, extra, repeatExtra, savesRetry}: EveryWindowLimits,
    reserved: number,
  ): number {
    const since = now - windowMilliseconds;
    const spent = this.balance - this.balances.since(since);
    const forRepeats = this.lastRepeatAt > since ? repeatExtra : 0;
    const left = extra - spent - reserved - forRepeats;
    const earned = savesRetry ? this.earned : 0;
    return Math.floor(Math.max(left, earned) + ROUNDING_ERROR);
  }

  private spend(now: number): void {
    this.changeBalance(now, this.settings.at(now), 1);
    this.earned = Math.max(0, this.earned - 1);
  }

  private changeBalance(
    now: number,
    {windowMilliseconds}: EveryWindowLimits,
    change: number,
  ): void {
    this.balances.since(now - windowMilliseconds);
    if (this.balances.size === 1) {
      // Counts anew while no retry matters, so that sums remain accurate.
      this.balance = 0;
      this.balances = new SlidingMinimum(0);
    }
    this.balance += change;
    this.balances.changed(now, this.balance);
  }
}
