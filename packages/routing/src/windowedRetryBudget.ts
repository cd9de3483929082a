// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Limits retries in a sliding window: a share of its calls plus a constant. */

import type {RetryAllowance} from './retryBudget.js';

/** Limits of a windowed retry budget. */
export interface WindowedBudgetSettings {
  /** Retries allowed for each call in the window. */
  readonly ratio: number;
  readonly windowMilliseconds: number;
  /** Retries allowed in each window in addition. */
  readonly extra: number;
}

/**
 * The limit holds in every window, wherever it starts: a retry is allowed only
 * if the window that ends now stays within the limit.
 */
export class WindowedRetryBudget implements RetryAllowance {
  private calls: number[] = [];
  private retries: number[] = [];

  /** Reads the settings on each use: operators change them at run time. */
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

  /** Counts against the limit even when it is already reached. */
  repeatArrived(now: number): void {
    this.retries.push(now);
  }

  hasRetry(now: number): boolean {
    return this.retriesLeft(now) >= 1;
  }

  retriesLeft(now: number): number {
    const {ratio, windowMilliseconds, extra} = this.settings(now);
    const since = now - windowMilliseconds;
    this.calls = after(this.calls, since);
    this.retries = after(this.retries, since);
    const limit = this.calls.length * ratio + extra;
    return Math.max(0, Math.floor(limit - this.retries.length));
  }

  takeRetry(now: number): boolean {
    if (!this.hasRetry(now)) {
      return false;
    }
    this.retries.push(now);
    return true;
  }

  /**
   * Moves the retries along, so that they keep their age, while calls grow
   * older. Otherwise the constant part could be used twice in one window of
   * real time when the time of day is set forwards.
   */
  clockGained(milliseconds: number): void {
    this.retries = this.retries.map((at) => at + milliseconds);
  }
}

/** The times after a moment; expects times in ascending order. */
function after(times: number[], since: number): number[] {
  const first = times.findIndex((time) => time > since);
  return first < 0 ? [] : first === 0 ? times : times.slice(first);
}
