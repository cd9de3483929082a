// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** One-sided cumulative sum (CUSUM) test on a stream of binary observations. */

/** The expected share of positive observations, and the share to detect. */
export interface SequentialHypotheses {
  readonly expectedShare: number;
  readonly suspectShare: number;
}

/**
 * Page's cumulative sum of log likelihood ratios. It detects a change from the
 * expected to the suspect share with the least delay for a given rate of false
 * alarms; the mean number of calls between false alarms is at least the
 * exponential of the threshold.
 */
export class CumulativeSum {
  private sum = 0;
  private since = 0;

  get score(): number {
    return this.sum;
  }

  /** When the score last rose from zero, in milliseconds since 1970. */
  get risingSince(): number {
    return this.since;
  }

  /** Adds an observation; the score is capped so that a recovery shows soon. */
  observe(
    now: number,
    isPositive: boolean,
    expected: SequentialHypotheses,
    maximum: number,
  ): void {
    const {expectedShare, suspectShare} = expected;
    const ratio = isPositive
      ? suspectShare / expectedShare
      : (1 - suspectShare) / (1 - expectedShare);
    if (this.sum === 0) {
      this.since = now;
    }
    this.sum = Math.min(maximum, Math.max(0, this.sum + Math.log(ratio)));
  }

  reset(): void {
    this.sum = 0;
  }
}
