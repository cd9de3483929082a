// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Calls whose nested calls have no capacity, at their guard. */

import {beforeEach, describe, expect, it} from 'vitest';
import {UNLIMITED_RETRIES} from '@lockpin/routing';
import type {NestedCallEnd} from '../guard/callTree.js';
import {DEFAULT_GUARD_SETTINGS} from '../guard/guardMessages.js';
import type {GuardAction, GuardCall} from '../guard/guardMessages.js';
import {GuardStateMachine} from '../guard/guardStateMachine.js';
import {GuardHarness, refusalsOf} from './__fixtures__/guardHarness.js';

const BUSY = ['nested-busy not-run'];

let harness: GuardHarness;
let serial: number;

function start(slots: number, refusesBusyParents = true): void {
  const guard = new GuardStateMachine(
    {box: 'box', incarnation: 'a'},
    {
      ...DEFAULT_GUARD_SETTINGS,
      hasQuickDoubt: true,
      createRetryBudget: () => UNLIMITED_RETRIES,
      tracksNestedCalls: true,
      refusesBusyParents,
    },
  );
  serial = 0;
  harness = new GuardHarness(slots, undefined, undefined, guard);
}

function begin(change: Partial<GuardCall> = {}): {
  readonly id: string;
  readonly actions: readonly GuardAction[];
} {
  serial += 1;
  const id = `call-${serial}`;
  const call = {requestId: id, needsGo: false, ...change};
  return {id, actions: harness.offer(id, call)};
}

function callNested(parentRequestId: string, end?: NestedCallEnd): void {
  const service = 'nested';
  harness.handle({kind: 'nested-call-began', parentRequestId, service});
  if (end !== undefined) {
    harness.handle({kind: 'nested-call-ended', service, priority: 1, end});
  }
}

function answer(callId: string, status = 200): readonly GuardAction[] {
  return harness.handle({
    kind: 'upstream-answered',
    callId,
    status,
    isShed: false,
    answer: undefined,
  });
}

/** Runs calls that make nested calls to their ends. */
function run(count: number, end: NestedCallEnd, route = 'r'): void {
  for (let i = 0; i < count; i += 1) {
    const {id} = begin({route});
    callNested(id, end);
    if (end !== 'served') {
      harness.handle({kind: 'own-call-failed'});
    }
    answer(id, end === 'served' ? 200 : 500);
  }
}

const offered = (change: Partial<GuardCall> = {}): readonly string[] =>
  refusalsOf(begin(change).actions);

describe('a call that is likely to call a service without capacity', () => {
  beforeEach(() => {
    start(4);
    run(3, 'served');
    run(2, 'no-capacity');
  });

  it('is refused as not run, with the time until the next check', () => {
    harness.now += 300;
    const [refusal] = begin().actions;
    expect(refusal).toMatchObject({
      kind: 'refuse',
      refusal: {
        reason: 'nested-busy',
        outcome: 'not-run',
        retryAfterMilliseconds: 700,
      },
    });
  });

  it('starts if it is more urgent than the calls that were refused', () => {
    expect(offered({priority: 0})).toEqual([]);
    expect(offered({priority: 2})).toEqual(BUSY);
  });

  it('starts if its kind seldom calls that service', () => {
    expect(offered({route: 'other'})).toEqual([]);
    start(4);
    run(1, 'served', 'seldom');
    for (let i = 0; i < 5; i += 1) {
      answer(begin({route: 'seldom'}).id);
    }
    run(2, 'no-capacity');
    expect(offered()).toEqual(BUSY);
    expect(offered({route: 'seldom'})).toEqual([]);
  });

  it('starts alone after a second, to check the service', () => {
    harness.now += 1000;
    const check = begin();
    expect(refusalsOf(check.actions)).toEqual([]);
    expect(offered()).toEqual(BUSY);
    callNested(check.id, 'served');
    expect(offered()).toEqual([]);
  });

  it('is refused for longer after a check that was refused', () => {
    harness.now += 1000;
    callNested(begin().id, 'no-capacity');
    harness.now += 1900;
    expect(offered()).toEqual(BUSY);
    harness.now += 100;
    expect(offered()).toEqual([]);
  });

  it('starts as the next check if the last one called nothing', () => {
    harness.now += 1000;
    answer(begin().id);
    expect(offered()).toEqual([]);
  });

  it('starts again when a less urgent nested call was served', () => {
    const service = 'nested';
    const end = {kind: 'nested-call-ended', service, end: 'served'} as const;
    harness.handle({...end, priority: 0});
    expect(offered()).toEqual(BUSY);
    harness.handle({...end, priority: 1});
    expect(offered()).toEqual([]);
  });

  it('starts as before where the mechanism is off', () => {
    start(4, false);
    run(5, 'no-capacity');
    expect(offered()).toEqual([]);
  });
});

describe('a call that waits while a service loses its capacity', () => {
  it('is refused at its turn, and its slot goes to the next', () => {
    start(2);
    run(3, 'served');
    const first = begin();
    const second = begin();
    const waiting = begin();
    const urgent = begin({priority: 0, route: 'other'});
    callNested(first.id, 'no-capacity');
    callNested(second.id, 'no-capacity');
    expect(answer(first.id)).toMatchObject([{kind: 'run', callId: urgent.id}]);
    expect(refusalsOf(answer(second.id))).toEqual(BUSY);
    expect(
      harness.handle({kind: 'call-cancelled', callId: waiting.id}),
    ).toEqual([]);
  });
});

it('is no shortage if one nested call is refused between others', () => {
  start(4);
  run(3, 'served');
  run(1, 'no-capacity');
  expect(offered()).toEqual([]);
  run(1, 'served');
  run(1, 'no-capacity');
  expect(offered()).toEqual([]);
});
