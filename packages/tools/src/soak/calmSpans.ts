// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Spans of time in which nothing was done to a box. */

import type {TroubleFact} from './soakFacts.js';

/** Whether a box, its links and the store were left alone in a span of time. */
export function isCalm(
  troubles: readonly TroubleFact[],
  box: string,
  from: number,
  until: number,
  counts: (trouble: TroubleFact) => boolean = () => true,
): boolean {
  return !troubles.some(
    (trouble) =>
      (trouble.box === box || trouble.box === '') &&
      trouble.from <= until &&
      trouble.until >= from &&
      counts(trouble),
  );
}
