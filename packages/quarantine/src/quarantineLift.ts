// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** An operator's word that what a request has done so far is to count no more. */

import {REPORT_LIFE_MILLISECONDS} from './runReport.js';

/** One such word. */
export interface QuarantineLift {
  readonly digest: string;
  /** Runs up to then count no more, in milliseconds since 1970. */
  readonly at: number;
}

/** Lifts that a box tells at most, the newest; more go through other boxes. */
export const MOST_LIFTS = 32;

/** Lifts of one box, the newest of each request. */
export class OwnLifts {
  private told: readonly QuarantineLift[] = [];

  /** What the other boxes are to know. */
  get all(): readonly QuarantineLift[] {
    return this.told;
  }

  /** Adds lifts; true when there is more to tell. Reports do not outlive a lift. */
  add(now: number, lifts: readonly QuarantineLift[]): boolean {
    const before = this.told;
    const newest = new Map<string, QuarantineLift>();
    for (const lift of [...this.told, ...lifts]) {
      const known = newest.get(lift.digest)?.at ?? Number.NEGATIVE_INFINITY;
      if (lift.at > known) {
        newest.delete(lift.digest);
        newest.set(lift.digest, lift);
      }
    }
    this.told = [...newest.values()]
      .filter(({at}) => now - at <= REPORT_LIFE_MILLISECONDS)
      .slice(-MOST_LIFTS);
    return !areSameLifts(before, this.told);
  }
}

/** Whether two lists of lifts of one box say the same. */
export function areSameLifts(
  a: readonly QuarantineLift[],
  b: readonly QuarantineLift[],
): boolean {
  return (
    a.length === b.length &&
    a.every(({digest, at}, i) => b[i]?.digest === digest && b[i].at === at)
  );
}
