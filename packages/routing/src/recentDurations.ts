// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The last durations of each kind of call, for how long one may still take. */

/** Durations kept for each kind. */
const KEPT_DURATIONS = 32;

/** Durations needed before a share of them is used. */
const MINIMUM_SAMPLES = 5;

interface Recent {
  readonly durations: number[];
  next: number;
}

/** Keeps the last durations of each kind. */
export class RecentDurations {
  private readonly kinds = new Map<string, Recent>();

  /** Adds the duration of a successful call. */
  add(kind: string, milliseconds: number): void {
    const recent = this.kinds.get(kind) ?? {durations: [], next: 0};
    this.kinds.set(kind, recent);
    recent.durations[recent.next] = milliseconds;
    recent.next = (recent.next + 1) % KEPT_DURATIONS;
  }

  /**
   * The duration that this share of the last calls did not exceed, in
   * milliseconds; undefined until there are enough.
   */
  quantile(kind: string, share: number): number | undefined {
    const durations = this.kinds.get(kind)?.durations ?? [];
    if (durations.length < MINIMUM_SAMPLES) {
      return undefined;
    }
    const sorted = [...durations].sort((one, other) => one - other);
    return sorted[Math.ceil(share * sorted.length) - 1];
  }
}
