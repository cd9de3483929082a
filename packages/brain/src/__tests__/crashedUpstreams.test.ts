// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Upstreams whose processes end, start again, or are ended by a request. */

import {describe, expect, it} from 'vitest';
import {GuardBrain} from '../guard/guardBrain.js';
import {DEFAULT_GUARD_SETTINGS} from '../guard/guardMessages.js';
import type {GuardAction} from '../guard/guardMessages.js';
import {GuardWorld, UPSTREAM, reasonOf} from './__fixtures__/guardWorld.js';

describe('an upstream that starts again under its id', () => {
  function restarted(): {
    readonly world: GuardWorld;
    readonly actions: readonly GuardAction[];
  } {
    const world = new GuardWorld(2);
    world.configure({
      slots: 2,
      incarnation: {id: 'i-1', startedAt: 100},
    });
    world.offer('sent', {needsGo: false, requestDigest: 'digest'});
    world.tell({
      kind: 'upstream-answered',
      callId: 'sent',
      status: 200,
      isShed: false,
      answer: undefined,
    });
    world.offer('running', {needsGo: false, requestDigest: 'digest'});
    world.offer('reserved');
    world.offer('waiting', {mayWait: true});
    return {
      world,
      actions: world.configure({
        slots: 2,
        incarnation: {id: 'i-1', startedAt: 200},
      }),
    };
  }

  it('ends the calls of its predecessor at once, each truthfully', () => {
    const {actions} = restarted();
    expect(reasonOf(actions)).toEqual([
      'upstream-failed unknown',
      'upstream-replaced not-run',
      'upstream-replaced not-run',
    ]);
    expect(actions).toContainEqual({kind: 'abort', callId: 'running'});
  });

  it('was ended by what ran there, and entries hear how its successor stands', () => {
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

  it('has all its slots, and late answers to its predecessor change nothing', () => {
    const {world} = restarted();
    expect(
      world.tell({
        kind: 'upstream-answered',
        callId: 'running',
        status: 200,
        isShed: false,
        answer: undefined,
      }),
    ).toEqual([]);
    expect(world.offer('1')).toEqual([{kind: 'reserve', callId: '1'}]);
    expect(world.offer('2')).toEqual([{kind: 'reserve', callId: '2'}]);
  });

  it('leaves calls alone whose upstream drains beside another id', () => {
    const world = new GuardWorld(2);
    world.configure({
      slots: 2,
      incarnation: {id: 'i-1', startedAt: 100},
    });
    world.offer('running', {needsGo: false});
    const actions = world.configure({
      incarnation: {id: 'i-2', startedAt: 200},
    });
    expect(reasonOf(actions)).toEqual([]);
  });
});

describe('an upstream whose process ends', () => {
  function broken(world: GuardWorld): readonly GuardAction[] {
    world.offer('1', {needsGo: false, requestDigest: 'digest'});
    return world.tell({kind: 'upstream-failed', callId: '1', wasSent: true});
  }

  function lookedAt(world: GuardWorld, presence: 'there' | 'gone') {
    return world.tell({
      kind: 'upstream-looked-at',
      upstream: UPSTREAM,
      incarnation: {id: 'i-1', startedAt: 0},
      presence,
    });
  }

  it('is looked at when a call breaks, and tells what ran when nobody is there', () => {
    const world = new GuardWorld();
    expect(broken(world)).toContainEqual(
      expect.objectContaining({kind: 'look-at-upstream'}),
    );
    expect(lookedAt(world, 'gone')).toEqual([
      {kind: 'upstream-crashed', upstream: UPSTREAM, digests: ['digest']},
    ]);
  });

  it('has not ended when somebody is there', () => {
    const world = new GuardWorld();
    broken(world);
    expect(lookedAt(world, 'there')).toEqual([]);
  });

  it('is let go when it drains: what it breaks then has no part in its end', () => {
    const world = new GuardWorld();
    world.offer('1', {needsGo: false, requestDigest: 'digest'});
    world.configure({state: 'draining'});
    const actions = world.tell({
      kind: 'upstream-failed',
      callId: '1',
      wasSent: true,
    });
    expect(actions.map(({kind}) => kind)).not.toContain('look-at-upstream');
  });
});

describe('a request in quarantine', () => {
  it('is refused with the time that is left when its slot is taken up', () => {
    const guard = new GuardBrain(
      {box: 'box', incarnation: 'a'},
      {
        ...DEFAULT_GUARD_SETTINGS,
        quarantinedFor: (_now, digest) => (digest === 'bad' ? 5000 : 0),
      },
    );
    const world = new GuardWorld(1, undefined, undefined, guard);
    world.configure({});
    expect(world.offer('1')).toEqual([{kind: 'reserve', callId: '1'}]);
    const refused = world.tell({
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
    world.offer('2');
    expect(
      world.tell({kind: 'call-go', callId: '2', requestDigest: 'good'}),
    ).toMatchObject([{kind: 'run', callId: '2'}]);
  });
});
