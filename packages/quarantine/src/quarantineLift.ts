// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Lifts of quarantines, by which operators void past runs of a request. */

import {REPORT_LIFETIME_MILLISECONDS} from './runReport.js';

/** The lift of the quarantine of one request. */
export interface QuarantineLift {
  readonly digest: string;
  /** Runs up to this time are ignored, in milliseconds since 1970. */
  readonly at: number;
}

/**
 * Maximum number of lifts that a box publishes, the newest ones. Further lifts
 * can be made through other boxes.
 */
export const MAXIMUM_LIFTS = 32;

/** Lifts made on one box, the newest of each request. */
export class OwnLifts {
  private published: readonly QuarantineLift[] = [];

  /** The lifts to publish to the other boxes. */
  get all(): readonly QuarantineLift[] {
    return this.published;
  }

  /**
   * Adds lifts; true if the published list changes. A lift is kept for as long
   * as the reports that it voids.
   */
  add(now: number, lifts: readonly QuarantineLift[]): boolean {
    const before = this.published;
    const newest = new Map<string, QuarantineLift>();
    for (const lift of [...this.published, ...lifts]) {
      const known = newest.get(lift.digest)?.at ?? Number.NEGATIVE_INFINITY;
      if (lift.at > known) {
        newest.delete(lift.digest);
        newest.set(lift.digest, lift);
      }
    }
    this.published = [...newest.values()]
      .filter(({at}) => now - at <= REPORT_LIFETIME_MILLISECONDS)
      .slice(-MAXIMUM_LIFTS);
    return !areSameLifts(before, this.published);
  }
}

/** Whether two lists of lifts are equal. */
export function areSameLifts(
  a: readonly QuarantineLift[],
  b: readonly QuarantineLift[],
): boolean {
  return (
    a.length === b.length &&
    a.every(({digest, at}, i) => b[i]?.digest === digest && b[i].at === at)
  );
}
