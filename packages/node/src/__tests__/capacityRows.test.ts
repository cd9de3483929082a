// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What the replies of a guard tell the boxes that it answers. */

import {FleetCapacity} from '@lockpin/routing';
import type {CapacityRow} from '@lockpin/routing';
import {expect, it} from 'vitest';
import {withCapacityRows} from '../request/capacityRows.js';
import type {Exchange, ExchangeHandlers} from '../request/exchange.js';
import type {AnswerHead, CallHead, RefusalFrame} from '../request/frames.js';
import {NOOP_HANDLERS} from '../request/guardExchange.js';

it('tells other upstreams in answers and refusals, as of the time of the reply', () => {
  const capacity = new FleetCapacity();
  let guard: ExchangeHandlers = NOOP_HANDLERS;
  const begin = withCapacityRows(
    (_head, handlers) => {
      guard = handlers;
      return {} as Exchange;
    },
    () => 150,
    capacity,
  );
  const told: (readonly CapacityRow[] | undefined)[] = [];
  begin({service: 's'} as CallHead, {
    ...NOOP_HANDLERS,
    onAnswer: ({others}) => told.push(others),
    onRefusal: ({others}) => told.push(others),
  });
  capacity.hinted('s/b', 100, {state: 'accepting', occupied: 2, limit: 4});
  guard.onAnswer({upstream: 's/a'} as AnswerHead);
  guard.onRefusal({
    upstream: 's/a',
    refusal: {reason: 'upstream-busy'},
  } as RefusalFrame);
  const row: CapacityRow = {box: 'b', occupied: 2, limit: 4, age: 50};
  expect(told).toEqual([[row], [row]]);
});
