// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which running call a nested call belongs to, as its guard answers it. */

import {beforeEach, describe, expect, it} from 'vitest';
import {UNLIMITED_RETRIES} from '@lockpin/routing';
import {DEFAULT_GUARD_SETTINGS} from '../guard/guardMessages.js';
import {GuardStateMachine} from '../guard/guardStateMachine.js';
import {GuardHarness, SERVICE} from './__fixtures__/guardHarness.js';

const NESTED = {service: 'other', route: 'r'};

let guard: GuardStateMachine;
let harness: GuardHarness;

function start(slots: number): void {
  guard = new GuardStateMachine(
    {box: 'box', incarnation: 'a'},
    {
      ...DEFAULT_GUARD_SETTINGS,
      hasQuickDoubt: true,
      createRetryBudget: () => UNLIMITED_RETRIES,
      tracksNestedCalls: true,
    },
  );
  harness = new GuardHarness(slots, undefined, undefined, guard);
}

function answer(callId: string): void {
  harness.handle({
    kind: 'upstream-answered',
    callId,
    status: 200,
    isShed: false,
    answer: undefined,
  });
}

describe('a guard asked for the parent of a nested call', () => {
  beforeEach(() => start(1));

  it('names only a call that its upstream runs now', () => {
    harness.offer('1', {requestId: 'root'});
    expect(guard.parentCall('root', NESTED)).toBeUndefined();
    harness.handle({kind: 'call-go', callId: '1', requestDigest: ''});
    const sameKind = {service: SERVICE, route: 'r'};
    expect(guard.parentCall('root', sameKind)).toBeUndefined();
    expect(guard.parentCall('root', NESTED)).toEqual({
      ...sameKind,
      customer: 'c',
      weight: 1,
      priority: 1,
      deadline: 10_000,
      isRepeat: false,
    });
    harness.offer('2', {requestId: 'queued'});
    expect(guard.parentCall('queued', NESTED)).toBeUndefined();
    answer('1');
    expect(guard.parentCall('root', NESTED)).toBeUndefined();
  });

  it('forgets calls whose upstream was replaced', () => {
    harness.offer('1', {requestId: 'root', needsGo: false});
    harness.configure({slots: 1, incarnation: {id: 'i-1', startedAt: 5}});
    expect(guard.parentCall('root', NESTED)).toBeUndefined();
  });
});

describe('a call counts as a repeat', () => {
  beforeEach(() => start(9));

  const run = (id: string, attempt: number, isNested = false): void => {
    harness.offer(id, {requestId: id, needsGo: false, attempt, isNested});
  };

  it('if any call here does, while no nested call has named its parent', () => {
    run('first', 1);
    expect(guard.mayBeRepeat(0, undefined)).toBe(false);
    run('second', 2);
    expect(guard.mayBeRepeat(0, undefined)).toBe(true);
  });

  it('exactly if its parent does, once nested calls name their parents', () => {
    run('first', 1);
    run('second', 2);
    guard.parentCall('first', NESTED);
    expect(guard.mayBeRepeat(0, undefined)).toBe(false);
    expect(guard.mayBeRepeat(0, 'first')).toBe(false);
    expect(guard.mayBeRepeat(0, 'second')).toBe(true);
    expect(guard.mayBeRepeat(0, 'unknown')).toBe(false);
  });

  it('if its parent was a repeat that was aborted, but may run on', () => {
    run('second', 2);
    run('nested', 1, true);
    expect(guard.mayBeRepeat(0, undefined)).toBe(false);
    harness.handle({kind: 'call-cancelled', callId: 'second'});
    expect(guard.mayBeRepeat(20_000, 'second')).toBe(true);
    expect(guard.mayBeRepeat(31_000, 'second')).toBe(false);
  });
});
