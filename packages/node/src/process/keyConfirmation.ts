// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Requests that wait to hear whether an unknown key is known by now. */

/**
 * A reader of the own data centre answers within a few milliseconds; a caller with a
 * new key gains by waiting this long, and one without loses little.
 */
const ANSWER_MILLISECONDS = 300;

/** Strangers may come in any number; beyond this they are told to ask again. */
const MOST_WAITING = 100;

/** Asks once for all that wait. */
export class KeyConfirmation {
  private readonly waiting = new Set<(isConfirmed: boolean) => void>();

  /** The function asks a reader, and returns whether a question is under way. */
  constructor(private readonly ask: () => boolean) {}

  /** Whether the keys in force here were found to be the newest. */
  confirm(): Promise<boolean> {
    if (this.waiting.size >= MOST_WAITING) {
      return Promise.resolve(false);
    }
    return new Promise((resolve) => {
      const timer = setTimeout(() => done(false), ANSWER_MILLISECONDS);
      const done = (isConfirmed: boolean): void => {
        clearTimeout(timer);
        this.waiting.delete(done);
        resolve(isConfirmed);
      };
      this.waiting.add(done);
      if (!this.ask()) {
        done(false);
      }
    });
  }

  /** A reader answered, or said nothing. */
  answered(isConfirmed: boolean): void {
    [...this.waiting].forEach((done) => done(isConfirmed));
  }
}
