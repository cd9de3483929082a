// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Rate limit of log lines, as a token bucket. */

/** A token bucket that refills at a constant rate up to a limit. */
export class LogRateLimiter {
  private tokens: number;
  private droppedCount = 0;

  constructor(
    private refilledAt: number,
    private readonly tokensPerSecond: number,
    burstSeconds: number,
  ) {
    this.capacity = tokensPerSecond * burstSeconds;
    this.tokens = this.capacity;
  }

  private readonly capacity: number;

  /** Takes one token; counts the line as dropped if none is available. */
  take(now: number): boolean {
    const seconds = Math.max(0, now - this.refilledAt) / 1000;
    this.tokens = Math.min(
      this.capacity,
      this.tokens + seconds * this.tokensPerSecond,
    );
    this.refilledAt = now;
    if (this.tokens < 1) {
      this.droppedCount += 1;
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  /** Counts a line that was dropped after its token was taken. */
  leftOut(): void {
    this.droppedCount += 1;
  }

  /** Returns and resets the number of dropped lines. */
  takeDroppedCount(): number {
    const count = this.droppedCount;
    this.droppedCount = 0;
    return count;
  }
}
