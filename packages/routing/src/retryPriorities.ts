// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which calls are urgent among those that have asked for retries. */

/** Remembers the priorities of calls that asked for a retry in a window. */
export class RetryPriorities {
  /** When each priority last asked, in milliseconds; 0 is the most urgent. */
  private readonly askedAt = new Map<number, number>();

  /** A call of this priority asks for a retry. */
  asked(now: number, priority: number): void {
    this.askedAt.set(priority, now);
  }

  /**
   * Whether a priority is among the more urgent half of those that have asked
   * since a time. A single priority is urgent.
   */
  isUrgent(since: number, priority: number): boolean {
    for (const [other, at] of this.askedAt) {
      if (at <= since) {
        this.askedAt.delete(other);
      }
    }
    const known = [...this.askedAt.keys()];
    const moreUrgent = known.filter((other) => other < priority).length;
    return moreUrgent * 2 < Math.max(1, known.length);
  }

  /** Moves all times on, so that they keep their age when the clock gains. */
  clockGained(milliseconds: number): void {
    for (const [priority, at] of this.askedAt) {
      this.askedAt.set(priority, at + milliseconds);
    }
  }
}
