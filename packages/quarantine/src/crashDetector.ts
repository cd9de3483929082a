// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Distinguishes an upstream whose process has ended from one that resets
 * connections. Both break running calls, but only an ended process leaves its
 * address without a listener.
 */

/** Result of a connection check on the address of an upstream. */
export type AddressState =
  /** A connection was established. */
  | 'listening'
  /** Nothing listens at the address. */
  | 'gone'
  /** No answer in time, for example because the box is suspended. */
  | 'unknown';

/**
 * Minimum time between checks of an upstream that breaks calls but is
 * listening. Upstreams that reset connections may break many calls a second,
 * and each check costs a connection.
 */
const CHECK_INTERVAL_MILLISECONDS = 100;

/**
 * Calls that broke at most this long before the address was found unused are
 * attributed to the end of the process. It covers the time between checks, a
 * turn of the event loop and the check itself.
 */
const SAME_EXIT_MILLISECONDS = 250;

interface BrokenCall {
  readonly digest: string;
  readonly at: number;
}

/** Detects the end of one process of an upstream. */
export class CrashDetector {
  private broken: readonly BrokenCall[] = [];
  private isChecking = false;
  private checkBeganAt = 0;
  private nextCheckAt = 0;
  private isGone = false;

  /**
   * Records that a call broke after it was sent. Returns its digest if the
   * process is already known to have ended.
   */
  callBroke(now: number, digest: string): readonly string[] {
    if (this.isGone) {
      return [digest];
    }
    this.broken = [...this.recent(now), {digest, at: now}];
    return [];
  }

  /** Whether a check is due now; if so, it counts as begun. */
  beginCheck(now: number): boolean {
    this.broken = this.recent(now);
    const isDue =
      this.broken.length > 0 && !this.isChecking && now >= this.nextCheckAt;
    if (isDue) {
      this.isChecking = true;
      this.checkBeganAt = now;
    }
    return isDue;
  }

  /** Records a check; returns the calls that broke with the process. */
  checkFinished(now: number, addressState: AddressState): readonly string[] {
    this.isChecking = false;
    this.nextCheckAt = now + CHECK_INTERVAL_MILLISECONDS;
    this.isGone ||= addressState === 'gone';
    const {broken} = this;
    // Calls that broke after the check began may still be due to an end.
    this.broken = this.isGone
      ? []
      : broken.filter(({at}) => at > this.checkBeganAt);
    return this.isGone ? broken.map(({digest}) => digest) : [];
  }

  private recent(now: number): readonly BrokenCall[] {
    return this.broken.filter(({at}) => now - at <= SAME_EXIT_MILLISECONDS);
  }
}
