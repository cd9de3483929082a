// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What an entry knew of an upstream when it offered a call, for logs. */

import type {CapacityReport} from '@lockpin/routing';
import type {KnownCapacity} from './attemptHistory.js';

/** Rounds a report for the log; undefined without one. */
export function knownCapacity(
  now: number,
  report: CapacityReport | undefined,
): KnownCapacity | undefined {
  if (report === undefined) {
    return undefined;
  }
  const {occupied, limit, slotIn, retriesLeft, at} = report;
  return {
    occupied,
    limit,
    slotIn: Math.round(slotIn),
    retriesLeft,
    age: Math.round(now - at),
  };
}
