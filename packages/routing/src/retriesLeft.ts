// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which upstreams a retry may go to, by the retries that guards have left. */

import {FRESH_MILLISECONDS} from './fleetCapacity.js';
import type {FleetCapacity} from './fleetCapacity.js';

/**
 * Guards without retries after which the others are assumed to have none. They
 * have equal parts of the budget and get alike shares of the calls.
 */
const EXHAUSTED_GUARDS = 3;

/**
 * The upstreams whose guards are known to have retries left. If there are none,
 * those of which nothing is known, unless several guards have none or the call
 * has found one that has none.
 */
export function withRetriesLeft<T extends {readonly name: string}>(
  capacity: FleetCapacity,
  now: number,
  candidates: readonly T[],
  hasFoundNone: boolean,
): readonly T[] {
  const unknown: T[] = [];
  const funded: T[] = [];
  let exhausted = 0;
  for (const candidate of candidates) {
    const report = capacity.latest(candidate.name);
    const isFresh =
      report !== undefined && now - report.at <= FRESH_MILLISECONDS;
    const left = isFresh ? report.retriesLeft : undefined;
    if (left === undefined) {
      unknown.push(candidate);
    } else if (left > 0) {
      funded.push(candidate);
    } else {
      exhausted += 1;
    }
  }
  if (funded.length > 0) {
    return funded;
  }
  return hasFoundNone || exhausted >= EXHAUSTED_GUARDS ? [] : unknown;
}
