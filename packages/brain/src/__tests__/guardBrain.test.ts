// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Tests single decisions of a guard. */

import {describe, expect, it} from 'vitest';
import {mintOnceKey} from '@lockpin/once';
import {seededRandom} from '@lockpin/utils';
import type {Resource} from '@lockpin/types';
import {WindowedRetryBudget} from '@lockpin/routing';
import {GuardStateMachine} from '../guard/guardStateMachine.js';
import {DEFAULT_GUARD_SETTINGS} from '../guard/guardSettings.js';
import type {GuardCall} from '../guard/guardCall.js';
import type {GuardEvent} from '../guard/guardMessages.js';

const SERVICE = 'customer/service';
const HOME = {box: 'box', incarnation: 'a'};
const random = seededRandom(1);

function createUpstream(overrides: Partial<Resource<'Upstream'>['spec']> = {}) {
  return {
    kind: 'Upstream' as const,
    name: `${SERVICE}/upstream`,
    version: 1,
    spec: {
      address: '127.0.0.1:9000',
      dataCentre: 'one',
      box: 'box',
      slots: 2,
      connections: 10,
      state: 'in-service' as const,
      ...overrides,
    },
  };
}

function servicesChanged(resource: Resource<'Upstream'>): GuardEvent {
  return {
    kind: 'services-changed',
    services: [{name: SERVICE, sensitivity: 'balanced', upstreams: [resource]}],
  };
}

function createGuard(): GuardStateMachine {
  const guard = new GuardStateMachine(HOME);
  guard.handle(0, random, servicesChanged(createUpstream()));
  return guard;
}

function callOffered(
  id: string,
  overrides: Partial<GuardCall> = {},
): GuardEvent {
  return {
    kind: 'call-offered',
    call: {
      id,
      service: SERVICE,
      upstream: `${SERVICE}/upstream`,
      customer: 'customer',
      weight: 1,
      route: 'route',
      repetition: 'repeatable',
      priority: 5,
      deadline: 10_000,
      attempt: 1,
      retryShare: 0.1,
      onceKey: undefined,
      requestDigest: '',
      ...overrides,
    },
  };
}

function callAnswered(callId: string, isStored: boolean): GuardEvent {
  const answer = isStored
    ? {status: 201, headers: {}, body: new Uint8Array(2)}
    : undefined;
  return {
    kind: 'upstream-answered',
    callId,
    status: 201,
    isShed: false,
    answer,
  };
}

describe('a guard', () => {
  it('completes a once-only call after its caller leaves and stores its answer', () => {
    const guard = createGuard();
    const onceKey = mintOnceKey(0, random, HOME);
    const once = {repetition: 'once-only' as const, onceKey};
    expect(guard.handle(1, random, callOffered('one', once))).toMatchObject([
      {kind: 'run'},
    ]);
    const actions = guard.handle(2, random, {
      kind: 'call-cancelled',
      callId: 'one',
    });
    expect(actions).toEqual([]);
    guard.handle(3, random, callAnswered('one', true));
    expect(guard.handle(4, random, callOffered('two', once))).toMatchObject([
      {kind: 'answer-stored', callId: 'two'},
    ]);
  });

  it('aborts a repeatable call when its caller leaves', () => {
    const guard = createGuard();
    guard.handle(1, random, callOffered('one'));
    const actions = guard.handle(2, random, {
      kind: 'call-cancelled',
      callId: 'one',
    });
    expect(actions[0]).toEqual({kind: 'abort', callId: 'one'});
  });

  it('finishes what is queued when it drains, and takes nothing new', () => {
    const guard = createGuard();
    guard.handle(1, random, callOffered('running'));
    guard.handle(1, random, callOffered('queued'));
    guard.handle(
      2,
      random,
      servicesChanged(createUpstream({state: 'draining'})),
    );
    expect(guard.handle(3, random, callOffered('new'))).toMatchObject([
      {
        kind: 'refuse',
        refusal: {reason: 'upstream-draining', outcome: 'not-run'},
      },
    ]);
    const freed = guard.handle(4, random, callAnswered('running', false));
    expect(freed).toMatchObject([{kind: 'run', callId: 'queued'}]);
  });

  it('refuses retries beyond their share of the offered calls', () => {
    const guard = createGuard();
    let refused = 0;
    for (let i = 0; i < 200; i += 1) {
      for (const attempt of [1, 2]) {
        const id = `${i}.${attempt}`;
        const [action] = guard.handle(i, random, callOffered(id, {attempt}));
        refused += action?.kind === 'refuse' ? 1 : 0;
        guard.handle(i, random, callAnswered(id, false));
      }
    }
    expect(refused).toBeGreaterThanOrEqual(200 - 22);
  });

  it('does not refill its retry budget early when its clock gains time', () => {
    const settings = {
      ...DEFAULT_GUARD_SETTINGS,
      createRetryBudget: () =>
        new WindowedRetryBudget(() => ({
          ratio: 0,
          windowMilliseconds: 5000,
          extra: 1,
        })),
    };
    const guard = new GuardStateMachine(HOME, settings);
    guard.handle(0, random, servicesChanged(createUpstream()));
    const offerRetry = (now: number, id: string) =>
      guard.handle(
        now,
        random,
        callOffered(id, {attempt: 2, deadline: 20_000}),
      )[0]?.kind;
    expect(offerRetry(1, 'one')).toBe('run');
    guard.handle(2, random, callAnswered('one', false));
    guard.handle(2, random, {kind: 'clock-gained', milliseconds: 6000});
    expect(offerRetry(6003, 'two')).toBe('refuse');
    expect(offerRetry(11_002, 'three')).toBe('run');
  });
});
