// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How many log lines may be written, as a token bucket. */

/** Fills at a steady rate up to a limit; each line takes one token. */
export class LineAllowance {
  private tokens: number;
  private leftOutCount = 0;

  constructor(
    private filledAt: number,
    private readonly perSecond: number,
    burstSeconds: number,
  ) {
    this.most = perSecond * burstSeconds;
    this.tokens = this.most;
  }

  private readonly most: number;

  /** Takes one line's token; counts the line as left out when there is none. */
  take(now: number): boolean {
    const seconds = Math.max(0, now - this.filledAt) / 1000;
    this.tokens = Math.min(this.most, this.tokens + seconds * this.perSecond);
    this.filledAt = now;
    if (this.tokens < 1) {
      this.leftOutCount += 1;
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  /** A line was lost after its token was taken. */
  leftOut(): void {
    this.leftOutCount += 1;
  }

  /** Lines left out since this was last asked. */
  takeLeftOut(): number {
    const count = this.leftOutCount;
    this.leftOutCount = 0;
    return count;
  }
}
