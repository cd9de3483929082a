// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Checks time spans for disruptions. */

import type {DisruptionRecord} from './soakHistory.js';

/** Whether no matching disruption of any box or the store overlaps the span. */
export function isFleetUndisrupted(
  disruptions: readonly DisruptionRecord[],
  from: number,
  until: number,
  matches: (disruption: DisruptionRecord) => boolean,
): boolean {
  return disruptions.every(({box}) =>
    isUndisrupted(disruptions, box, from, until, matches),
  );
}

/** Whether no matching disruption of the box or the store overlaps the span. */
export function isUndisrupted(
  disruptions: readonly DisruptionRecord[],
  box: string,
  from: number,
  until: number,
  matches: (disruption: DisruptionRecord) => boolean = () => true,
): boolean {
  return !disruptions.some(
    (disruption) =>
      (disruption.box === box || disruption.box === '') &&
      disruption.from <= until &&
      disruption.until >= from &&
      matches(disruption),
  );
}
