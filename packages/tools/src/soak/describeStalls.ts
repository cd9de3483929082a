// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Describes the stalls of event loops within a time span. */

import type {StallRecord} from './soakHistory.js';

/**
 * Returns for how long the soak's process and nodes did not run in a span; empty
 * if all did. It is evidence for the reader of a report and excuses no
 * violation.
 * @param boxes Boxes whose nodes are described; by default, all.
 */
export function describeStalls(
  stalls: readonly StallRecord[],
  from: number,
  until: number,
  boxes?: readonly string[],
): string {
  const totals = new Map<string, number>();
  for (const stall of stalls) {
    const overlap = Math.min(stall.until, until) - Math.max(stall.from, from);
    const isDescribed =
      stall.box === '' || (boxes?.includes(stall.box) ?? true);
    if (overlap > 0 && isDescribed) {
      totals.set(stall.box, (totals.get(stall.box) ?? 0) + overlap);
    }
  }
  const parts = [...totals].map(
    ([box, total]) => `${box === '' ? 'soak' : box} ${Math.round(total)} ms`,
  );
  return parts.length === 0 ? '' : `; did not run for: ${parts.join(', ')}`;
}
