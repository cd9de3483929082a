// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A guard whose upstream states that it is leaving. */

import {beforeEach, describe, expect, it} from 'vitest';
import type {GuardAction} from '../guard/guardMessages.js';
import {GuardHarness, refusalsOf} from './__fixtures__/guardHarness.js';

const LEAVING = {
  requestsPerSecond: undefined,
  isLeaving: true,
  unreadableLimit: undefined,
};

const REFUSED = ['upstream-draining not-run'];

let harness: GuardHarness;

beforeEach(() => {
  harness = new GuardHarness(1);
});

/** Lets a running call's answer state that the upstream is leaving. */
function stateLeaving(callId = 'running'): readonly GuardAction[] {
  return harness.handle({kind: 'upstream-stated', callId, notice: LEAVING});
}

describe('a guard whose upstream states that it is leaving', () => {
  beforeEach(() => {
    harness.offer('running', {needsGo: false});
  });

  it('tells the node and the entries', () => {
    expect(stateLeaving()).toMatchObject([
      {kind: 'timeline', event: 'upstream-leaving'},
      {kind: 'standing', hint: {state: 'draining', notice: {isLeaving: true}}},
      {kind: 'upstream-leaving', incarnation: {id: 'i-1', startedAt: 0}},
    ]);
    expect(stateLeaving()).toEqual([]);
  });

  it('refuses the calls that wait for it', () => {
    harness.offer('waiting', {needsGo: false});
    expect(refusalsOf(stateLeaving())).toEqual(REFUSED);
  });

  it('refuses new calls of every kind', () => {
    stateLeaving();
    expect(refusalsOf(harness.offer('new'))).toEqual(REFUSED);
    expect(refusalsOf(harness.offer('last', {mayRunDoubted: true}))).toEqual(
      REFUSED,
    );
  });

  it('lets running calls end', () => {
    stateLeaving();
    const actions = harness.handle({
      kind: 'upstream-answered',
      callId: 'running',
      status: 200,
      isShed: false,
      answer: undefined,
    });
    expect(refusalsOf(actions)).toEqual([]);
  });

  it('takes calls for the next process', () => {
    stateLeaving();
    harness.configure({incarnation: {id: 'i-2', startedAt: 0}});
    expect(harness.offer('new')).toEqual([{kind: 'reserve', callId: 'new'}]);
  });

  it('tries a process without an identity again after a while', () => {
    harness.configure({incarnation: undefined});
    harness.offer('next', {needsGo: false});
    stateLeaving('next');
    harness.now += 20_000;
    harness.handle({kind: 'tick'});
    expect(refusalsOf(harness.offer('early'))).toEqual(REFUSED);
    harness.now += 11_000;
    harness.handle({kind: 'tick'});
    expect(refusalsOf(harness.offer('due'))).toEqual([]);
  });
});

describe('a guard with a call that waits for its go', () => {
  it('does not run it once the upstream is leaving', () => {
    harness = new GuardHarness(2);
    harness.offer('running', {needsGo: false});
    harness.offer('reserved');
    stateLeaving();
    const actions = harness.handle({
      kind: 'call-go',
      callId: 'reserved',
      requestDigest: '',
    });
    expect(refusalsOf(actions)).toEqual(REFUSED);
  });
});

describe('a guard that has restarted', () => {
  const knownNotice = {
    incarnation: 'i-1@0',
    requestsPerSecond: undefined,
    isLeaving: true,
  };

  it('learns from an entry that the upstream is leaving', () => {
    expect(refusalsOf(harness.offer('new', {knownNotice}))).toEqual(REFUSED);
    expect(refusalsOf(harness.offer('other'))).toEqual(REFUSED);
  });

  it('ignores notices of an earlier process', () => {
    const earlier = {...knownNotice, incarnation: 'i-0@0'};
    expect(refusalsOf(harness.offer('new', {knownNotice: earlier}))).toEqual(
      [],
    );
  });
});
