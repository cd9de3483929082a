// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Tells an upstream whose process has ended from one that resets connections. Both break
 * running calls; only the first has nobody at its address afterwards.
 */

/** What a look at an upstream's address found. */
export type Presence =
  /** A connection came about. */
  | 'there'
  /** Nothing listens there. */
  | 'gone'
  /** No answer in time, as from a box that stands still. */
  | 'unknown';

/**
 * Time between looks at an upstream that breaks calls and is there. Upstreams that reset
 * much of what they get break many calls a second, and a look costs a connection.
 */
const LOOK_PAUSE_MILLISECONDS = 100;

/**
 * Calls that broke this long before nobody was found at the address broke with the
 * process: the pause between looks, a turn of the loop and the look itself.
 */
const SAME_END_MILLISECONDS = 250;

interface BrokenCall {
  readonly digest: string;
  readonly at: number;
}

/** Watches one process of an upstream. */
export class CrashWatch {
  private broken: readonly BrokenCall[] = [];
  private isLooking = false;
  private lookBeganAt = 0;
  private lookAfter = 0;
  private isGone = false;

  /** A call broke that had been sent; returns it when the process is known to have ended. */
  broke(now: number, digest: string): readonly string[] {
    if (this.isGone) {
      return [digest];
    }
    this.broken = [...this.recent(now), {digest, at: now}];
    return [];
  }

  /** Whether the address is to be looked at now; the look has begun when so. */
  beginLook(now: number): boolean {
    this.broken = this.recent(now);
    const isDue =
      this.broken.length > 0 && !this.isLooking && now >= this.lookAfter;
    if (isDue) {
      this.isLooking = true;
      this.lookBeganAt = now;
    }
    return isDue;
  }

  /** A look has ended; returns the calls that broke with the process. */
  looked(now: number, presence: Presence): readonly string[] {
    this.isLooking = false;
    this.lookAfter = now + LOOK_PAUSE_MILLISECONDS;
    this.isGone ||= presence === 'gone';
    const {broken} = this;
    // What broke since the look began may still be due to an end.
    this.broken = this.isGone
      ? []
      : broken.filter(({at}) => at > this.lookBeganAt);
    return this.isGone ? broken.map(({digest}) => digest) : [];
  }

  private recent(now: number): readonly BrokenCall[] {
    return this.broken.filter(({at}) => now - at <= SAME_END_MILLISECONDS);
  }
}
