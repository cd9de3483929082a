// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Nested calls and the calls that make them, at their guards. */

import {beforeEach, describe, expect, it} from 'vitest';
import {UNLIMITED_RETRIES} from '@lockpin/routing';
import type {NestedCallEnd} from '../guard/callTree.js';
import {DEFAULT_GUARD_SETTINGS} from '../guard/guardSettings.js';
import type {GuardCall} from '../guard/guardCall.js';
import type {GuardAction} from '../guard/guardMessages.js';
import {GuardStateMachine} from '../guard/guardStateMachine.js';
import {
  GuardHarness,
  SERVICE,
  refusalsOf,
} from './__fixtures__/guardHarness.js';

const BUSY = ['nested-busy not-run'];
const service = 'nested';
const NESTED = {service, route: 'r'};

let harness: GuardHarness;
let serial = 0;

function createHarness(slots: number, refusesBusyParents = true): GuardHarness {
  const guard = new GuardStateMachine(
    {box: 'box', incarnation: 'a'},
    {
      ...DEFAULT_GUARD_SETTINGS,
      hasQuickDoubt: true,
      createRetryBudget: () => UNLIMITED_RETRIES,
      admission: {removesHopeless: true},
      tracksNestedCalls: true,
      refusesBusyParents,
    },
  );
  return new GuardHarness(slots, undefined, undefined, guard);
}

function begin(
  change: Partial<GuardCall> = {},
  at = harness,
): {readonly id: string; readonly refusals: readonly string[]} {
  serial += 1;
  const id = `call-${serial}`;
  const call = {requestId: id, needsGo: false, ...change};
  return {id, refusals: refusalsOf(at.offer(id, call))};
}

/** The refusals of a call that is offered now. */
const offered = (change: Partial<GuardCall> = {}): readonly string[] =>
  begin(change).refusals;

/** Ends a nested call, and the call that made it if it was refused. */
function nestedEnded(
  parent: string,
  end: NestedCallEnd,
  at = harness,
  retryAfterMilliseconds?: number,
): readonly GuardAction[] {
  at.handle({kind: 'nested-call-began', parentRequestId: parent, service});
  const result = {parentRequestId: parent, service, priority: 1, end};
  at.handle({kind: 'nested-call-ended', ...result, retryAfterMilliseconds});
  return end === 'served' ? [] : answer(parent, 500, at);
}

function answer(
  callId: string,
  status = 200,
  at = harness,
): readonly GuardAction[] {
  const result = {status, isShed: false, answer: undefined};
  return at.handle({kind: 'upstream-answered', callId, ...result});
}

/** Runs calls that make nested calls to their ends. */
function run(count: number, end: NestedCallEnd): void {
  for (let i = 0; i < count; i += 1) {
    const {id} = begin();
    nestedEnded(id, end);
    answer(id);
  }
}

describe('a guard asked for the parent of a nested call', () => {
  beforeEach(() => {
    harness = createHarness(1);
  });

  it('names only a call that its upstream runs now', () => {
    harness.offer('1', {requestId: 'root'});
    expect(harness.guard.parentCall('root', NESTED)).toBeUndefined();
    harness.handle({kind: 'call-go', callId: '1', requestDigest: ''});
    const sameKind = {service: SERVICE, route: 'r'};
    expect(harness.guard.parentCall('root', sameKind)).toBeUndefined();
    expect(harness.guard.parentCall('root', NESTED)).toEqual({
      ...sameKind,
      customer: 'c',
      weight: 1,
      priority: 1,
      deadline: 10_000,
      isRepeat: false,
    });
    harness.offer('2', {requestId: 'queued'});
    expect(harness.guard.parentCall('queued', NESTED)).toBeUndefined();
    answer('1');
    expect(harness.guard.parentCall('root', NESTED)).toBeUndefined();
  });

  it('forgets calls whose upstream was replaced', () => {
    harness.offer('1', {requestId: 'root', needsGo: false});
    harness.configure({slots: 1, incarnation: {id: 'i-1', startedAt: 5}});
    expect(harness.guard.parentCall('root', NESTED)).toBeUndefined();
  });
});

describe('a call counts as a repeat', () => {
  beforeEach(() => {
    harness = createHarness(9);
  });

  const runAs = (id: string, attempt: number, isNested = false): void => {
    harness.offer(id, {requestId: id, needsGo: false, attempt, isNested});
  };

  it('if any call here does, while no nested call has named its parent', () => {
    runAs('first', 1);
    expect(harness.guard.mayBeRepeat(0, undefined)).toBe(false);
    runAs('second', 2);
    expect(harness.guard.mayBeRepeat(0, undefined)).toBe(true);
  });

  it('exactly if its parent does, once nested calls name their parents', () => {
    runAs('first', 1);
    runAs('second', 2);
    harness.guard.parentCall('first', NESTED);
    expect(harness.guard.mayBeRepeat(0, undefined)).toBe(false);
    expect(harness.guard.mayBeRepeat(0, 'first')).toBe(false);
    expect(harness.guard.mayBeRepeat(0, 'second')).toBe(true);
    expect(harness.guard.mayBeRepeat(0, 'unknown')).toBe(false);
  });

  it('if its parent was a repeat that was aborted, but may run on', () => {
    runAs('second', 2);
    runAs('nested', 1, true);
    expect(harness.guard.mayBeRepeat(0, undefined)).toBe(false);
    harness.handle({kind: 'call-cancelled', callId: 'second'});
    expect(harness.guard.mayBeRepeat(20_000, 'second')).toBe(true);
    expect(harness.guard.mayBeRepeat(31_000, 'second')).toBe(false);
  });
});

describe('a call that is likely to call a service without capacity', () => {
  beforeEach(() => {
    harness = createHarness(4);
    run(3, 'served');
    run(2, 'no-capacity');
  });

  it('is refused as not run, with the time until the next check', () => {
    harness.now += 300;
    expect(harness.offer('1')).toMatchObject([
      {refusal: {reason: 'nested-busy', retryAfterMilliseconds: 700}},
    ]);
  });

  it('starts if it is more urgent, or if its kind seldom calls that service', () => {
    expect(offered({priority: 0})).toEqual([]);
    expect(offered({priority: 2})).toEqual(BUSY);
    for (let i = 0; i < 5; i += 1) {
      answer(begin({route: 'seldom'}).id);
    }
    const {id} = begin({route: 'seldom'});
    nestedEnded(id, 'no-capacity');
    expect(offered({route: 'seldom'})).toEqual([]);
  });

  it('starts alone after a second, to check the service', () => {
    harness.now += 1000;
    const check = begin();
    expect(check.refusals).toEqual([]);
    expect(offered()).toEqual(BUSY);
    nestedEnded(check.id, 'served');
    expect(offered()).toEqual([]);
  });

  it('is refused for two seconds after a check that was refused', () => {
    harness.now += 1000;
    nestedEnded(begin().id, 'no-capacity');
    harness.now += 1900;
    expect(offered()).toEqual(BUSY);
    harness.now += 100;
    expect(offered()).toEqual([]);
  });

  // Guards against calls that are refused for longer than a service is full.
  it.each([
    {told: 250, first: 250, second: 500},
    {told: 10, first: 100, second: 200},
    {told: 5000, first: 1000, second: 2000},
  ])(
    'starts when its nested call may come back, after $told ms',
    ({told, first, second}) => {
      harness = createHarness(4);
      run(3, 'served');
      const calls = [begin(), begin()];
      calls.forEach(({id}) => nestedEnded(id, 'no-capacity', harness, told));
      harness.now += first - 1;
      expect(offered()).toEqual(BUSY);
      harness.now += 1;
      const check = begin();
      expect(check.refusals).toEqual([]);
      nestedEnded(check.id, 'no-capacity', harness, told);
      harness.now += second - 1;
      expect(offered()).toEqual(BUSY);
      harness.now += 1;
      expect(offered()).toEqual([]);
    },
  );

  it('starts as the next check if the last one called nothing', () => {
    harness.now += 1000;
    answer(begin().id);
    expect(offered()).toEqual([]);
  });
});

it('one call with refused nested calls between others is no shortage', () => {
  harness = createHarness(4);
  run(3, 'served');
  run(1, 'no-capacity');
  run(1, 'served');
  const {id} = begin();
  nestedEnded(id, 'no-capacity');
  nestedEnded(id, 'no-capacity');
  expect(offered()).toEqual([]);
});

it('an upstream is not doubted for errors after refusals of nested calls', () => {
  harness = createHarness(4, false);
  run(3, 'served');
  const calls = [begin(), begin(), begin()];
  for (const {id} of calls) {
    const result = {parentRequestId: id, service, priority: 1};
    harness.handle({kind: 'nested-call-ended', ...result, end: 'failed'});
  }
  harness.now += 300;
  calls.forEach(({id}) => answer(id, 500));
  expect(offered()).toEqual([]);
});

it('nothing is refused where the mechanism is off', () => {
  harness = createHarness(4, false);
  run(5, 'no-capacity');
  expect(offered()).toEqual([]);
});

it('a waiting call is refused at its turn, and its slot goes to the next', () => {
  harness = createHarness(1);
  run(3, 'served');
  run(1, 'no-capacity');
  const {id} = begin();
  begin();
  const other = begin({route: 'other', priority: 2});
  const actions = nestedEnded(id, 'no-capacity');
  expect(refusalsOf(actions)).toEqual(BUSY);
  expect(actions).toContainEqual(
    expect.objectContaining({kind: 'run', callId: other.id}),
  );
});

it('two services that call each other with all slots in use do not deadlock', () => {
  const sides = [createHarness(2), createHarness(2)] as const;
  const parents = new Map<string, number>();
  const nested = new Map<string, string>();
  sides.forEach((side, i) => {
    for (let n = 0; n < 2; n += 1) {
      parents.set(begin({deadline: 5000}, side).id, i);
    }
  });
  for (const [parent, i] of parents) {
    const limits = {
      usefulUntil: 500,
      deadline: 1600,
      expectedMilliseconds: 100,
    };
    const call = {isNested: true, route: 'n', ...limits};
    nested.set(begin(call, sides[1 - i]).id, parent);
  }
  const ends: string[] = [];
  const perform = (action: GuardAction, i: number): void => {
    const id = 'callId' in action ? action.callId : '';
    const parent = nested.get(id) ?? '';
    const [callee, caller] = [sides[i], sides[1 - i]];
    if (action.kind === 'run' || action.kind === 'refuse') {
      const end = action.kind === 'run' ? 'served' : 'no-capacity';
      ends.push(end);
      answer(id, 200, callee).forEach((next) => perform(next, i));
      [
        ...nestedEnded(parent, end, caller),
        ...answer(parent, 200, caller),
      ].forEach((next) => perform(next, 1 - i));
    }
  };
  for (let now = 0; now < 500; now += 50) {
    sides.forEach((side, i) => {
      side.now = now;
      side.handle({kind: 'tick'}).forEach((action) => perform(action, i));
    });
  }
  expect(ends).toHaveLength(4);
  expect(ends).toContain('served');
});
