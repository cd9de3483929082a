// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Adds what this box knows of other upstreams to the replies of its guard. */

import {hasSpare, hasSpareRetry} from '@lockpin/routing';
import type {CapacityReport, FleetCapacity} from '@lockpin/routing';
import type {Clock, RefusalReason} from '@lockpin/types';
import type {BeginExchange} from './exchange.js';

/** Refusals after which the next offer is a retry, paid by its guard. */
const RETRIED_REFUSALS: ReadonlySet<RefusalReason> = new Set([
  'retries-exhausted',
  'upstream-refused',
]);

/** Starts exchanges whose replies report other upstreams of the service. */
export function withCapacityRows(
  begin: BeginExchange,
  clock: Clock,
  capacity: Pick<FleetCapacity, 'rowsFor'>,
): BeginExchange {
  return (head, handlers) => {
    const others = (
      upstream: string,
      isUsable?: (report: CapacityReport) => boolean,
    ) => capacity.rowsFor(head.service, upstream, clock(), isUsable);
    return begin(head, {
      ...handlers,
      onAnswer: (answer) =>
        handlers.onAnswer({...answer, others: others(answer.upstream)}),
      onRefusal: (refusal) =>
        handlers.onRefusal({
          ...refusal,
          others: others(refusal.upstream, usableAfter(refusal.refusal.reason)),
        }),
    });
  };
}

/** Which upstreams a call can go to after a refusal. */
export function usableAfter(
  reason: RefusalReason,
): (report: CapacityReport) => boolean {
  return RETRIED_REFUSALS.has(reason) ? hasSpareRetry : hasSpare;
}
