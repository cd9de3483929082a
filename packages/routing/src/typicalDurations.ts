// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How long calls of each kind usually take, over all upstreams. */

/** Share by which the estimate moves towards each new duration. */
const STEP_SHARE = 0.06;

/** Durations seen before the estimate is used. */
const LEAST_SEEN = 5;

interface Estimate {
  median: number;
  seen: number;
}

/** A running median for each kind of call; outliers hardly move it. */
export class TypicalDurations {
  private readonly estimates = new Map<string, Estimate>();

  /** Takes in how long a call that was answered well took. */
  add(kind: string, milliseconds: number): void {
    const estimate = this.estimates.get(kind);
    if (estimate === undefined) {
      this.estimates.set(kind, {median: milliseconds, seen: 1});
      return;
    }
    const direction = Math.sign(milliseconds - estimate.median);
    const share = Math.max(STEP_SHARE, 1 / (estimate.seen + 1));
    estimate.median += direction * share * estimate.median;
    estimate.seen += 1;
  }

  /** The median in milliseconds; undefined until enough calls were seen. */
  of(kind: string): number | undefined {
    const estimate = this.estimates.get(kind);
    return estimate !== undefined && estimate.seen >= LEAST_SEEN
      ? estimate.median
      : undefined;
  }

  /** Forgets kinds that are no longer configured. */
  retain(isKnown: (kind: string) => boolean): void {
    for (const kind of this.estimates.keys()) {
      if (!isKnown(kind)) {
        this.estimates.delete(kind);
      }
    }
  }
}
