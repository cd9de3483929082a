// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Tests upstreams whose processes exit, restart, or crash on a request. */

import {describe, expect, it} from 'vitest';
import {GuardStateMachine} from '../guard/guardStateMachine.js';
import {DEFAULT_GUARD_SETTINGS} from '../guard/guardSettings.js';
import type {GuardAction} from '../guard/guardMessages.js';
import {
  GuardHarness,
  UPSTREAM,
  refusalsOf,
} from './__fixtures__/guardHarness.js';

describe('an upstream restarted under the same id', () => {
  function restarted(): {
    readonly harness: GuardHarness;
    readonly actions: readonly GuardAction[];
  } {
    const harness = new GuardHarness(2);
    harness.configure({
      slots: 2,
      incarnation: {id: 'i-1', startedAt: 100},
    });
    harness.offer('sent', {needsGo: false, requestDigest: 'digest'});
    harness.handle({
      kind: 'upstream-answered',
      callId: 'sent',
      status: 200,
      isShed: false,
      answer: undefined,
    });
    harness.offer('running', {needsGo: false, requestDigest: 'digest'});
    harness.offer('reserved');
    harness.offer('waiting', {mayWait: true});
    return {
      harness,
      actions: harness.configure({
        slots: 2,
        incarnation: {id: 'i-1', startedAt: 200},
      }),
    };
  }

  it('ends the calls of its predecessor at once, each truthfully', () => {
    const {actions} = restarted();
    expect(refusalsOf(actions)).toEqual([
      'upstream-failed unknown',
      'upstream-replaced not-run',
      'upstream-replaced not-run',
    ]);
    expect(actions).toContainEqual({kind: 'abort', callId: 'running'});
  });

  it('reports what ran in the crashed process and the state of its successor', () => {
    const {actions} = restarted();
    expect(actions).toContainEqual(
      expect.objectContaining({
        kind: 'upstream-crashed',
        digests: ['digest'],
      }),
    );
    expect(actions).toContainEqual(
      expect.objectContaining({
        kind: 'standing',
        hint: expect.objectContaining({occupied: 0}),
      }),
    );
  });

  it('has all slots free and ignores late answers to its predecessor', () => {
    const {harness} = restarted();
    expect(
      harness.handle({
        kind: 'upstream-answered',
        callId: 'running',
        status: 200,
        isShed: false,
        answer: undefined,
      }),
    ).toEqual([]);
    expect(harness.offer('1')).toEqual([{kind: 'reserve', callId: '1'}]);
    expect(harness.offer('2')).toEqual([{kind: 'reserve', callId: '2'}]);
  });

  it('keeps the running calls if the new process has another id', () => {
    const harness = new GuardHarness(2);
    harness.configure({
      slots: 2,
      incarnation: {id: 'i-1', startedAt: 100},
    });
    harness.offer('running', {needsGo: false});
    const actions = harness.configure({
      incarnation: {id: 'i-2', startedAt: 200},
    });
    expect(refusalsOf(actions)).toEqual([]);
  });
});

describe('an upstream whose process exits', () => {
  function breakCall(harness: GuardHarness): readonly GuardAction[] {
    harness.offer('1', {needsGo: false, requestDigest: 'digest'});
    return harness.handle({
      kind: 'upstream-failed',
      callId: '1',
      wasSent: true,
    });
  }

  function finishCheck(
    harness: GuardHarness,
    addressState: 'listening' | 'gone',
  ) {
    return harness.handle({
      kind: 'upstream-checked',
      upstream: UPSTREAM,
      incarnation: {id: 'i-1', startedAt: 0},
      addressState,
    });
  }

  it('is checked when a call breaks, and reports what ran if it is gone', () => {
    const harness = new GuardHarness();
    expect(breakCall(harness)).toContainEqual(
      expect.objectContaining({kind: 'check-upstream'}),
    );
    expect(finishCheck(harness, 'gone')).toEqual([
      {kind: 'upstream-crashed', upstream: UPSTREAM, digests: ['digest']},
    ]);
  });

  it('is not reported as crashed while its address is listening', () => {
    const harness = new GuardHarness();
    breakCall(harness);
    expect(finishCheck(harness, 'listening')).toEqual([]);
  });

  it('is not checked when a call breaks while it drains', () => {
    const harness = new GuardHarness();
    harness.offer('1', {needsGo: false, requestDigest: 'digest'});
    harness.configure({state: 'draining'});
    const actions = harness.handle({
      kind: 'upstream-failed',
      callId: '1',
      wasSent: true,
    });
    expect(actions.map(({kind}) => kind)).not.toContain('check-upstream');
  });
});

describe('a request in quarantine', () => {
  it('is refused at the go signal with the remaining quarantine time', () => {
    const guard = new GuardStateMachine(
      {box: 'box', incarnation: 'a'},
      {
        ...DEFAULT_GUARD_SETTINGS,
        quarantinedFor: (_now, digest) => (digest === 'bad' ? 5000 : 0),
      },
    );
    const harness = new GuardHarness(1, undefined, undefined, guard);
    harness.configure({});
    expect(harness.offer('1')).toEqual([{kind: 'reserve', callId: '1'}]);
    const refused = harness.handle({
      kind: 'call-go',
      callId: '1',
      requestDigest: 'bad',
    });
    expect(refused).toMatchObject([
      {
        kind: 'refuse',
        refusal: {
          reason: 'request-quarantined',
          outcome: 'not-run',
          retryAfterMilliseconds: 5000,
        },
      },
    ]);
    harness.offer('2');
    expect(
      harness.handle({kind: 'call-go', callId: '2', requestDigest: 'good'}),
    ).toMatchObject([{kind: 'run', callId: '2'}]);
  });
});
