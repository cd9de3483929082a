// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a guard is told of how soon an attempt has to run. */

import type {Attempt} from '@lockpin/brain';
import type {CallerRequest} from './callerRequest.js';

/**
 * Added to the priority of late calls: behind all that are not late. A priority is two
 * digits at the most, the customer's and the route's.
 */
const LATE_PRIORITY = 100;

/**
 * Under overload, a call whose answer is late anyway makes way for those that can still be
 * answered in time; one that lost time on a failed upstream goes ahead of its kind.
 * @param age Since the call arrived, in milliseconds.
 */
export function urgencyOf(
  {priority, route}: CallerRequest,
  age: number,
  attempt: Attempt,
): number {
  const {goalMilliseconds} = route.spec;
  if (goalMilliseconds === undefined) {
    return priority;
  }
  if (age > goalMilliseconds || attempt.terms === 'may-be-late') {
    return priority + LATE_PRIORITY;
  }
  return attempt.number > 1 ? Math.max(0, priority - 1) : priority;
}

/** Undefined where the answer is late already, or is worth the same later. */
export function usefulFor(
  {route}: CallerRequest,
  age: number,
  {terms}: Attempt,
): number | undefined {
  const {goalMilliseconds} = route.spec;
  if (goalMilliseconds === undefined || terms === 'may-be-late') {
    return undefined;
  }
  const milliseconds = goalMilliseconds - age;
  return milliseconds > 0 ? Math.ceil(milliseconds) : undefined;
}

/** The time in which the guard must give it a slot; undefined for any. */
export function startWithin(
  now: number,
  {startBy}: Attempt,
): number | undefined {
  return startBy === undefined
    ? undefined
    : Math.max(0, Math.floor(startBy - now));
}

/** Whole milliseconds take a quarter of the bytes on the way. */
export function rounded(milliseconds: number | undefined): number | undefined {
  return milliseconds === undefined ? undefined : Math.round(milliseconds);
}
