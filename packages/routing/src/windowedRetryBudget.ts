// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Retries as a share of the calls of a sliding window, plus a fixed number. */

import type {RetryAllowance} from './retryBudget.js';

/** What a windowed budget allows. */
export interface WindowedBudgetSettings {
  /** Retries for each call of the window. */
  readonly ratio: number;
  readonly windowMilliseconds: number;
  /** Retries of each window on top. */
  readonly extra: number;
}

/**
 * Every span of the window's length keeps the limit: a retry is allowed only
 * when those of the window that ends now stay within it.
 */
export class WindowedRetryBudget implements RetryAllowance {
  private calls: number[] = [];
  private retries: number[] = [];

  /** The settings are asked for each time: operators change them as we run. */
  constructor(
    private readonly settings: (now: number) => WindowedBudgetSettings,
  ) {}

  firstAttempt(now: number): void {
    const {windowMilliseconds} = this.settings(now);
    this.calls.push(now);
    if ((this.calls[0] ?? now) < now - 2 * windowMilliseconds) {
      this.calls = after(this.calls, now - windowMilliseconds);
    }
  }

  /** Counts against the window even where nothing is left in it. */
  repeatArrived(now: number): void {
    this.retries.push(now);
  }

  hasRetry(now: number): boolean {
    const {ratio, windowMilliseconds, extra} = this.settings(now);
    const since = now - windowMilliseconds;
    this.calls = after(this.calls, since);
    this.retries = after(this.retries, since);
    const limit = this.calls.length * ratio + extra;
    return this.retries.length + 1 <= limit;
  }

  takeRetry(now: number): boolean {
    if (!this.hasRetry(now)) {
      return false;
    }
    this.retries.push(now);
    return true;
  }

  /**
   * Retries keep their age, calls grow older: else the fixed number could be spent twice
   * in a window when the time of day is set forwards.
   */
  clockGained(milliseconds: number): void {
    this.retries = this.retries.map((at) => at + milliseconds);
  }
}

/** The times after a moment; times are in rising order. */
function after(times: number[], since: number): number[] {
  const first = times.findIndex((time) => time > since);
  return first < 0 ? [] : first === 0 ? times : times.slice(first);
}
