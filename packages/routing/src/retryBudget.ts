// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Retries as a share of recent calls, so that they cannot amplify. */

/** Retries that may be saved up while all is well. */
const MOST_SAVED_RETRIES = 10;

/** What pays for the retries of a service's calls. */
export interface RetryAllowance {
  /** A call arrived; its route lets this share of calls be retried. */
  readonly firstAttempt: (now: number, share: number) => void;
  /** A call arrived that is a repeat already, though not one of this entry. */
  readonly repeatArrived: (now: number) => void;
  /** Whether a retry could be taken now. */
  readonly hasRetry: (now: number) => boolean;
  /** Takes one retry, or says that there is none. */
  readonly takeRetry: (now: number) => boolean;
  /**
   * The clock counts this much more time from here on, which may not have passed: what
   * was spent must not be forgotten for it.
   */
  readonly clockGained: (milliseconds: number) => void;
}

/** Lets a fixed share of calls be retried, with a small reserve. */
export class RetryBudget implements RetryAllowance {
  private saved: number;

  /** Starts with the retries that a service with little traffic may need. */
  constructor(startingRetries = 1) {
    this.saved = startingRetries;
  }

  /** A first attempt adds its share. */
  firstAttempt(_now: number, share: number): void {
    this.saved = Math.min(MOST_SAVED_RETRIES, this.saved + share);
  }

  /** Somebody else's repeat takes one out as well. */
  repeatArrived(): void {
    this.saved = Math.max(0, this.saved - 1);
  }

  hasRetry(): boolean {
    return this.saved >= 1;
  }

  /** Takes one retry out, or says that there is none. */
  takeRetry(): boolean {
    if (!this.hasRetry()) {
      return false;
    }
    this.saved -= 1;
    return true;
  }

  /** What is saved does not age. */
  clockGained(): void {}
}

/** For an entry whose guards pay for retries: it takes whatever they let it. */
export const PAID_ELSEWHERE: RetryAllowance = {
  firstAttempt: () => undefined,
  repeatArrived: () => undefined,
  hasRetry: () => true,
  takeRetry: () => true,
  clockGained: () => undefined,
};

/** Pays for nothing. */
export const NO_RETRIES: RetryAllowance = {
  firstAttempt: () => undefined,
  repeatArrived: () => undefined,
  hasRetry: () => false,
  takeRetry: () => false,
  clockGained: () => undefined,
};
