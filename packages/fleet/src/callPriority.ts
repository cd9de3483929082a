// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Priority of a call in a fleet whose customers have priorities. */

/** Priorities are single digits. */
const PRIORITIES = 10;

/**
 * The customer's priority ranks above the route's, which only orders calls of
 * customers with equal priority. A call without a customer is ranked as if its
 * customer had the priority of the route.
 */
export function callPriority(
  customer: number | undefined,
  route: number,
): number {
  return (customer ?? route) * PRIORITIES + route;
}
