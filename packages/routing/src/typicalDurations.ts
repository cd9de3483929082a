// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Typical durations of each kind of call, over all upstreams. */

/** Least relative step of the estimate towards each new duration. */
const MINIMUM_STEP = 0.06;

/** Durations needed before the estimate is used. */
const MINIMUM_SAMPLES = 5;

interface Estimate {
  median: number;
  samples: number;
}

/** Running median for each kind of call; outliers hardly affect it. */
export class TypicalDurations {
  private readonly estimates = new Map<string, Estimate>();

  /** Adds the duration of a successful call. */
  add(kind: string, milliseconds: number): void {
    const estimate = this.estimates.get(kind);
    if (estimate === undefined) {
      this.estimates.set(kind, {median: milliseconds, samples: 1});
      return;
    }
    const direction = Math.sign(milliseconds - estimate.median);
    const share = Math.max(MINIMUM_STEP, 1 / (estimate.samples + 1));
    estimate.median += direction * share * estimate.median;
    estimate.samples += 1;
  }

  /** The median in milliseconds; undefined until there are enough samples. */
  median(kind: string): number | undefined {
    const estimate = this.estimates.get(kind);
    return estimate !== undefined && estimate.samples >= MINIMUM_SAMPLES
      ? estimate.median
      : undefined;
  }

  /** Removes kinds that are no longer configured. */
  retain(isKnown: (kind: string) => boolean): void {
    for (const kind of this.estimates.keys()) {
      if (!isKnown(kind)) {
        this.estimates.delete(kind);
      }
    }
  }
}
