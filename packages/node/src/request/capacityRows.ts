// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Adds what this box knows of other upstreams to the replies of its guard. */

import type {FleetCapacity} from '@lockpin/routing';
import type {Clock} from '@lockpin/types';
import type {BeginExchange} from './exchange.js';

/** Starts exchanges whose replies tell about other upstreams of the service. */
export function withCapacityRows(
  begin: BeginExchange,
  clock: Clock,
  capacity: Pick<FleetCapacity, 'rowsFor'>,
): BeginExchange {
  return (head, handlers) => {
    const others = (upstream: string, isRefusal: boolean) =>
      capacity.rowsFor(head.service, upstream, clock(), isRefusal);
    return begin(head, {
      ...handlers,
      onAnswer: (answer) =>
        handlers.onAnswer({...answer, others: others(answer.upstream, false)}),
      onRefusal: (refusal) =>
        handlers.onRefusal({
          ...refusal,
          others: others(refusal.upstream, true),
        }),
    });
  };
}
