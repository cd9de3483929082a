// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Exponentially decaying statistics of one kind of call on one upstream. */

/** Statistics of one kind of call, as a guard reports them. */
export interface CallSummary {
  /** Number of calls seen, with older ones weighted less. */
  readonly weight: number;
  readonly failedShare: number;
  /** Share of short time windows in which most calls were slow. */
  readonly slowShare: number;
  /** Geometric mean of call durations, in milliseconds. */
  readonly typicalMilliseconds: number;
}

/** Time constant of the decay: by then a call counts for about a third. */
const DECAY_MILLISECONDS = 5000;

/** Lower bound of durations, whose logarithm would diverge near zero. */
const MINIMUM_DURATION_MILLISECONDS = 0.1;

/** Keeps counts that decay with time rather than with each call. */
export class CallStatistics {
  private weight = 0;
  private failed = 0;
  private timed = 0;
  private logDurationSum = 0;
  private decayedAt = 0;

  /** Records a call; the duration is undefined for a call that failed. */
  add(now: number, failed: boolean, milliseconds: number | undefined): void {
    this.decay(now);
    this.weight += 1;
    this.failed += failed ? 1 : 0;
    if (milliseconds !== undefined) {
      this.timed += 1;
      this.logDurationSum += Math.log(
        Math.max(MINIMUM_DURATION_MILLISECONDS, milliseconds),
      );
    }
  }

  summary(now: number, slowShare: number): CallSummary {
    this.decay(now);
    const {weight, timed} = this;
    return {
      weight,
      failedShare: weight === 0 ? 0 : this.failed / weight,
      slowShare,
      typicalMilliseconds:
        timed === 0 ? 0 : Math.exp(this.logDurationSum / timed),
    };
  }

  private decay(now: number): void {
    const factor = Math.exp((this.decayedAt - now) / DECAY_MILLISECONDS);
    this.decayedAt = now;
    this.weight *= factor;
    this.failed *= factor;
    this.timed *= factor;
    this.logDurationSum *= factor;
  }
}
