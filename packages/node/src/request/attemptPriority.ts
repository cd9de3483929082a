// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Priority and time limits that an offer gives to the guard. */

import type {Attempt} from '@lockpin/brain';
import type {CallerRequest} from './callerRequest.js';

/**
 * Added to the priority number of late calls, which places them behind all
 * others: a priority has at most two digits, the customer's and the route's.
 */
const LATE_PRIORITY = 100;

/** The priority of a call without the effect of its lateness. */
export function priorityWithoutLateness(priority: number): number {
  return priority % LATE_PRIORITY;
}

/**
 * The priority of an attempt. Under overload, a call that has missed its
 * latency goal yields to calls that can still meet theirs. A nested call does
 * not: its parent holds a slot and may still be in time. Guards place retries
 * ahead of others of the same priority.
 * @param age Milliseconds since the call arrived.
 */
export function attemptPriority(
  {priority, route, isNested}: CallerRequest,
  age: number,
  attempt: Attempt,
): number {
  const {goalMilliseconds} = route.spec;
  if (goalMilliseconds === undefined || isNested === true) {
    return priority;
  }
  if (age > goalMilliseconds || attempt.terms === 'may-be-late') {
    return priority + LATE_PRIORITY;
  }
  return priority;
}

/**
 * Milliseconds until the latency goal; undefined when the route has no goal or
 * the goal is already missed.
 */
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

/**
 * Milliseconds in which the guard must reserve a slot; undefined for no limit.
 */
export function startWithin(
  now: number,
  {startBy}: Attempt,
): number | undefined {
  return startBy === undefined
    ? undefined
    : Math.max(0, Math.floor(startBy - now));
}

/**
 * Rounded because whole milliseconds take a quarter of the bytes on the wire.
 */
export function roundMilliseconds(
  milliseconds: number | undefined,
): number | undefined {
  return milliseconds === undefined ? undefined : Math.round(milliseconds);
}
