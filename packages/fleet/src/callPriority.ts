// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How urgent a call is where customers have priorities of their own. */

/** Priorities are one digit each. */
const PRIORITIES = 10;

/**
 * The customer's priority goes before that of its routes, which orders the calls of
 * customers that are as urgent as each other. A call without a customer counts as one
 * of a customer that is as urgent as its route.
 */
export function callPriority(
  customer: number | undefined,
  route: number,
): number {
  return (customer ?? route) * PRIORITIES + route;
}
