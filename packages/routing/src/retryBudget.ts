// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Limits retries to a share of recent calls, to prevent retry storms. */

/** Retries that can accumulate while none are needed. */
const MAXIMUM_SAVED_RETRIES = 10;

/** Budget for the retries of a service's calls. */
export interface RetryAllowance {
  /** Records a first attempt; its route allows this share of calls to retry. */
  readonly firstAttempt: (now: number, share: number) => void;
  /** Records an arriving call that is a repeat made by another party. */
  readonly repeatArrived: (now: number) => void;
  /**
   * Whether a retry is available now to a call of this priority; 0 is the most
   * urgent.
   */
  readonly hasRetry: (now: number, priority: number) => boolean;
  /** Takes one retry; false if none is available to this priority. */
  readonly takeRetry: (now: number, priority: number) => boolean;
  /** Whole retries that are available now; infinite without a limit. */
  readonly retriesLeft: (now: number) => number;
  /**
   * The clock has jumped forwards by this much, possibly without that time
   * having passed. Retries already taken must not expire because of it.
   */
  readonly clockGained: (milliseconds: number) => void;
}

/** Allows a fixed share of calls to be retried, with a small reserve. */
export class RetryBudget implements RetryAllowance {
  private saved: number;

  /** The initial reserve allows retries to services with little traffic. */
  constructor(startingRetries = 1) {
    this.saved = startingRetries;
  }

  /** A first attempt adds its share. */
  firstAttempt(_now: number, share: number): void {
    this.saved = Math.min(MAXIMUM_SAVED_RETRIES, this.saved + share);
  }

  /** A repeat made by another party uses up a retry as well. */
  repeatArrived(): void {
    this.saved = Math.max(0, this.saved - 1);
  }

  hasRetry(): boolean {
    return this.saved >= 1;
  }

  /** Takes one retry; false if none is available. */
  takeRetry(): boolean {
    if (!this.hasRetry()) {
      return false;
    }
    this.saved -= 1;
    return true;
  }

  retriesLeft(): number {
    return Math.floor(this.saved);
  }

  /** Does nothing, since saved retries do not expire. */
  clockGained(): void {}
}

/** No limit at the entry, for fleets whose guards keep the retry budgets. */
export const UNLIMITED_RETRIES: RetryAllowance = {
  firstAttempt: () => undefined,
  repeatArrived: () => undefined,
  hasRetry: () => true,
  takeRetry: () => true,
  retriesLeft: () => Number.POSITIVE_INFINITY,
  clockGained: () => undefined,
};

/** Allows no retries. */
export const NO_RETRIES: RetryAllowance = {
  firstAttempt: () => undefined,
  repeatArrived: () => undefined,
  hasRetry: () => false,
  takeRetry: () => false,
  retriesLeft: () => 0,
  clockGained: () => undefined,
};
