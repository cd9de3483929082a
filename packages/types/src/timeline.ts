// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Events of the timeline that every process keeps. */

/** A hybrid logical timestamp: milliseconds and a tie-breaking counter. */
export interface HybridTime {
  readonly milliseconds: number;
  readonly counter: number;
}

/** A decision or state change, recorded for operators. */
export interface TimelineEvent {
  readonly time: HybridTime;
  readonly box: string;
  readonly kind: string;
  /** The resource, box or call that the event concerns. */
  readonly subject: string;
  readonly detail: Readonly<Record<string, string | number | boolean>>;
}
