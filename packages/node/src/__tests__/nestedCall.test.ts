// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What nested calls inherit, and how they are ranked. */

import {describe, expect, it} from 'vitest';
import type {Attempt, ParentCall} from '@lockpin/brain';
import {attemptPriority} from '../request/attemptPriority.js';
import type {CallerRequest} from '../request/callerRequest.js';
import {nestedCall} from '../request/nestedCall.js';

const PARENT: ParentCall = {
  service: 'own',
  route: 'r',
  customer: 'root',
  weight: 3,
  priority: 21,
  deadline: 1500,
  isRepeat: false,
};

const CALL = {
  customer: 'box',
  weight: 1,
  priority: 55,
  waitMilliseconds: 2000,
  parentRequestId: 'p',
  keyOwner: undefined,
  view: {name: 'service'},
  route: {name: 'r', spec: {goalMilliseconds: 400}},
} as CallerRequest;

const inherit = (
  call: Partial<CallerRequest>,
  parent: Partial<ParentCall> = {},
): CallerRequest =>
  nestedCall(1000, {...CALL, ...call}, (id) =>
    id === 'p' ? {...PARENT, ...parent} : undefined,
  );

describe('a nested call', () => {
  it('has its root as customer, with the weight and priority of the root', () => {
    expect(inherit({})).toMatchObject({
      customer: 'root',
      weight: 3,
      priority: 21,
      isNested: true,
    });
  });

  it('ends with its parent, and not later than it would by itself', () => {
    expect(inherit({}).waitMilliseconds).toBe(500);
    expect(inherit({waitMilliseconds: 100}).waitMilliseconds).toBe(100);
    expect(inherit({}, {deadline: 900}).waitMilliseconds).toBe(0);
  });

  it('does not wait behind others because its parent is late', () => {
    expect(inherit({}, {priority: 121}).priority).toBe(21);
  });

  it('is a call of its own without a running parent, or with a key', () => {
    expect(inherit({parentRequestId: 'other'})).toMatchObject({priority: 55});
    const keyed = inherit({keyOwner: 'someone'});
    expect(keyed).toMatchObject({priority: 55, parentRequestId: undefined});
  });
});

describe('the priority of an attempt', () => {
  const attempt = (change: Partial<Attempt>): Attempt =>
    ({number: 1, terms: 'immediate', ...change}) as Attempt;

  it('is that of its call, also for a retry', () => {
    expect(attemptPriority(CALL, 0, attempt({}))).toBe(55);
    // A lower number would place it before the first attempts of other kinds.
    expect(attemptPriority(CALL, 0, attempt({number: 2}))).toBe(55);
  });

  it('is behind all others when late, except for a nested call', () => {
    const late = attempt({terms: 'may-be-late'});
    expect(attemptPriority(CALL, 0, late)).toBe(155);
    expect(attemptPriority(CALL, 500, attempt({}))).toBe(155);
    // Its parent holds a slot and may still be in time.
    expect(attemptPriority(inherit({}), 0, late)).toBe(21);
  });
});
