// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Holds requests with an unknown key until a reader confirms that the keys are
 * current.
 */

/**
 * Maximum wait. A reader in the same data centre answers within a few
 * milliseconds, so callers with a new key are served, and others are delayed
 * only briefly.
 */
const REPLY_TIMEOUT_MILLISECONDS = 300;

/**
 * Maximum number of waiting requests. Callers without a valid key may arrive in
 * any number; beyond this they are told to retry.
 */
const MAXIMUM_WAITING = 100;

/** Shares one query among all waiting requests. */
export class KeyConfirmation {
  private readonly waiting = new Set<(isConfirmed: boolean) => void>();

  /** queryReader starts a query and returns whether one is pending. */
  constructor(private readonly queryReader: () => boolean) {}

  /**
   * Resolves to whether a reader confirmed that the keys in force here are
   * current.
   */
  confirm(): Promise<boolean> {
    if (this.waiting.size >= MAXIMUM_WAITING) {
      return Promise.resolve(false);
    }
    return new Promise((resolve) => {
      const timer = setTimeout(() => done(false), REPLY_TIMEOUT_MILLISECONDS);
      const done = (isConfirmed: boolean): void => {
        clearTimeout(timer);
        this.waiting.delete(done);
        resolve(isConfirmed);
      };
      this.waiting.add(done);
      if (!this.queryReader()) {
        done(false);
      }
    });
  }

  /** Handles the end of a query, answered or not. */
  answered(isConfirmed: boolean): void {
    [...this.waiting].forEach((done) => done(isConfirmed));
  }
}
