// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * A clock that readers agree on, so that their polls end in turn although the
 * clocks of their boxes differ. It follows the clock that is furthest ahead.
 */
export class TurnClock {
  private ahead = 0;

  /** Milliseconds to add to the clock of this node. */
  get offset(): number {
    return this.ahead;
  }

  /** The time of the agreed clock. */
  read(now: number): number {
    return now + this.ahead;
  }

  /** Another node's agreed clock showed this time when it sent a message. */
  merge(now: number, time: number): void {
    if (Number.isFinite(time)) {
      this.ahead = Math.max(this.ahead, time - now);
    }
  }
}
