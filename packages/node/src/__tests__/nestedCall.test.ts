// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What nested calls inherit, and the priority of attempts. */

import {describe, expect, it} from 'vitest';
import type {Attempt, ParentCall} from '@lockpin/brain';
import {attemptPriority} from '../request/attemptPriority.js';
import type {CallerRequest} from '../request/callerRequest.js';
import {nestedCall} from '../request/nestedCall.js';

const ROOT = {customer: 'root', weight: 3, priority: 21};
const PARENT = {...ROOT, deadline: 1500} as ParentCall;

const CALL = {
  customer: 'box',
  weight: 1,
  priority: 55,
  waitMilliseconds: 2000,
  parentRequestId: 'p',
  view: {name: 'service'},
  route: {name: 'r', spec: {goalMilliseconds: 400}},
} as CallerRequest;

/** The call as it arrives at 1000. */
const inherit = (
  call: Partial<CallerRequest>,
  parent: Partial<ParentCall> = {},
): CallerRequest =>
  nestedCall(1000, {...CALL, ...call}, (id) =>
    id === 'p' ? {...PARENT, ...parent} : undefined,
  );

describe('a nested call', () => {
  it('has the customer, weight and priority of its root', () => {
    expect(inherit({})).toMatchObject({...ROOT, isNested: true});
    // Waiting behind others would hold its late parent's slot for longer.
    expect(inherit({}, {priority: 121}).priority).toBe(21);
  });

  it('ends with its parent, and not later than it would by itself', () => {
    expect(inherit({}).waitMilliseconds).toBe(500);
    expect(inherit({waitMilliseconds: 100}).waitMilliseconds).toBe(100);
    expect(inherit({}, {deadline: 900}).waitMilliseconds).toBe(0);
  });

  it('is a call of its own without a running parent, or with a key', () => {
    expect(inherit({parentRequestId: 'other'})).toMatchObject({priority: 55});
    const keyed = inherit({keyOwner: 'someone'});
    expect(keyed).toMatchObject({priority: 55, parentRequestId: undefined});
  });
});

it('attempts have the priority of their call, or if late one behind all others', () => {
  const attempt = {number: 1, terms: 'immediate'} as Attempt;
  const late = {...attempt, terms: 'may-be-late'} as const;
  expect(attemptPriority(CALL, 0, attempt)).toBe(55);
  // A lower number would place a retry before first attempts of other kinds.
  expect(attemptPriority(CALL, 0, {...attempt, number: 2})).toBe(55);
  expect(attemptPriority(CALL, 0, late)).toBe(155);
  expect(attemptPriority(CALL, 500, attempt)).toBe(155);
  // The parent of a nested call holds a slot and may still be in time.
  expect(attemptPriority(inherit({}), 0, late)).toBe(21);
});
