// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Slots that a guard keeps until the entry says go, and quick doubt. */

import {describe, expect, it} from 'vitest';
import {RetryBudget} from '@lockpin/routing';
import {DEFAULT_GUARD_SETTINGS} from '../guard/guardMessages.js';
import {GuardWorld, UPSTREAM, reasonOf} from './__fixtures__/guardWorld.js';

const {reservationMilliseconds} = DEFAULT_GUARD_SETTINGS;

describe('a reservation', () => {
  it('runs only when the entry says go', () => {
    const world = new GuardWorld();
    expect(world.offer('1')).toEqual([{kind: 'reserve', callId: '1'}]);
    expect(world.tell({kind: 'call-go', callId: '1'})).toEqual([
      {kind: 'run', callId: '1', upstream: UPSTREAM},
    ]);
  });

  it('is given back unrun when no go comes, and a late go does nothing', () => {
    const world = new GuardWorld();
    world.offer('1');
    world.now = reservationMilliseconds + 1;
    expect(reasonOf(world.tell({kind: 'tick'}))).toEqual([
      'reservation-expired not-run',
    ]);
    expect(world.tell({kind: 'call-go', callId: '1'})).toEqual([]);
    expect(world.offer('2')).toEqual([{kind: 'reserve', callId: '2'}]);
  });

  it('is given back unrun when the entry cancels it', () => {
    const world = new GuardWorld();
    world.offer('1');
    const actions = world.tell({kind: 'call-cancelled', callId: '1'});
    expect(reasonOf(actions)).toEqual(['caller-left not-run']);
    expect(actions.map(({kind}) => kind)).not.toContain('abort');
  });

  it('lets the next call have its slot', () => {
    const world = new GuardWorld();
    world.offer('1');
    expect(world.offer('2')).toEqual([{kind: 'queue', callId: '2'}]);
    expect(world.tell({kind: 'call-cancelled', callId: '1'})).toContainEqual({
      kind: 'reserve',
      callId: '2',
    });
  });

  it('is refused at once where the entry would rather go elsewhere', () => {
    const world = new GuardWorld();
    world.offer('1');
    expect(reasonOf(world.offer('2', {mayWait: false}))).toEqual([
      'upstream-busy not-run',
    ]);
  });

  it('stays truthful when the upstream drains before the go', () => {
    const world = new GuardWorld();
    world.offer('1');
    world.configure({state: 'draining'});
    const actions = world.tell({kind: 'call-go', callId: '1'});
    expect(actions.map(({kind}) => kind)).not.toContain('run');
    expect(reasonOf(actions)).toEqual(['upstream-draining not-run']);
  });
});

describe('a retry', () => {
  const noRetries = (): RetryAllowance => new RetryBudget(0);

  it('is refused at once where no first attempts have paid for it', () => {
    const world = new GuardWorld(2, noRetries);
    expect(reasonOf(world.offer('1', {attempt: 2}))).toEqual([
      'retries-exhausted not-run',
    ]);
  });

  it('is paid for by first attempts that were sent, not by offers', () => {
    const world = new GuardWorld(2, noRetries);
    const paying = {retryShare: 0.5};
    world.offer('1', paying);
    world.offer('2', paying);
    expect(reasonOf(world.offer('3', {attempt: 2, mayWait: false}))).toEqual([
      'retries-exhausted not-run',
    ]);
    world.tell({kind: 'call-go', callId: '1'});
    world.tell({kind: 'call-go', callId: '2'});
    expect(world.offer('4', {attempt: 2})).toEqual([
      {kind: 'queue', callId: '4'},
    ]);
  });

  it('costs nothing unless it is sent, and is never sent unpaid', () => {
    const world = new GuardWorld(3, () => new RetryBudget(1));
    world.offer('1', {attempt: 2});
    world.offer('2', {attempt: 2});
    world.offer('3', {attempt: 2});
    world.tell({kind: 'call-cancelled', callId: '1'});
    const sent = world.tell({kind: 'call-go', callId: '2'});
    expect(sent).toEqual([{kind: 'run', callId: '2', upstream: UPSTREAM}]);
    const unpaid = world.tell({kind: 'call-go', callId: '3'});
    expect(reasonOf(unpaid)).toEqual(['retries-exhausted not-run']);
  });

  it('takes one more where a first attempt may be a repeat of its caller', () => {
    const world = new GuardWorld(3, () => new RetryBudget(1));
    world.offer('1', {needsGo: false, mayBeRepeat: true});
    expect(reasonOf(world.offer('2', {attempt: 2}))).toEqual([
      'retries-exhausted not-run',
    ]);
  });
});

describe('a call that waits', () => {
  it('is refused at once when its upstream begins to drain', () => {
    const world = new GuardWorld();
    world.offer('1', {needsGo: false});
    world.offer('2');
    const upstream = {state: 'draining', slots: 1} as const;
    expect(reasonOf(world.configure(upstream))).toEqual([
      'upstream-draining not-run',
    ]);
  });
});

describe('a node that leaves', () => {
  it('refuses at once, and tells entries not to ask again soon', () => {
    const world = new GuardWorld();
    world.tell({kind: 'leaving'});
    expect(world.offer('1')).toMatchObject([
      {
        refusal: {reason: 'node-leaving', outcome: 'not-run'},
        hint: {state: 'draining'},
      },
    ]);
  });
});

describe('what an upstream says of a call', () => {
  it('is passed on as not run when it refused it', () => {
    const world = new GuardWorld();
    world.offer('1', {needsGo: false});
    const actions = world.tell({
      kind: 'upstream-refused',
      callId: '1',
      reason: 'upstream-refused',
    });
    expect(reasonOf(actions)).toEqual(['upstream-refused not-run']);
  });

  it('keeps all calls away once another process has its address', () => {
    const world = new GuardWorld();
    world.offer('1', {needsGo: false});
    world.tell({
      kind: 'upstream-refused',
      callId: '1',
      reason: 'upstream-replaced',
    });
    expect(reasonOf(world.offer('2', {mayRunDoubted: true}))).toEqual([
      'upstream-replaced not-run',
    ]);
    world.configure({incarnation: {id: 'i-2', startedAt: 0}});
    expect(world.offer('3')).toEqual([{kind: 'reserve', callId: '3'}]);
  });
});

describe('an upstream in doubt', () => {
  function doubted(): GuardWorld {
    const world = new GuardWorld(2);
    world.run('well', 200);
    world.offer('bad', {needsGo: false});
    const failed = {callId: 'bad', wasSent: true} as const;
    world.tell({kind: 'upstream-failed', ...failed});
    return world;
  }

  it('gets no call that cannot be repeated, except as a last resort', () => {
    const world = doubted();
    const once = {repetition: 'at-most-once'} as const;
    expect(reasonOf(world.offer('1', once))).toEqual([
      'upstream-doubted not-run',
    ]);
    expect(world.offer('2', {...once, mayRunDoubted: true})).toEqual([
      {kind: 'reserve', callId: '2'},
    ]);
  });

  it('includes the doubt reason when it refuses an at-most-once call', () => {
    const once = {repetition: 'at-most-once'} as const;
    const doubtReasonsOf = (world: GuardWorld) =>
      world
        .offer('refused', once)
        .flatMap((action) =>
          action.kind === 'refuse' ? [action.doubtReason] : [],
        );
    const unproven = new GuardWorld(3);
    unproven.offer('1', {...once, needsGo: false});
    expect(doubtReasonsOf(unproven)).toEqual(['unproven']);
    const late = new GuardWorld(3);
    late.run('well', 200);
    late.offer('late', {needsGo: false, expectedMilliseconds: 50});
    late.now = 180;
    expect(doubtReasonsOf(late)).toEqual(['late-calls']);
    expect(doubtReasonsOf(doubted())).toEqual(['bad-calls']);
  });

  it('gets one repeatable call after a pause, as a probe', () => {
    const world = doubted();
    expect(reasonOf(world.offer('1'))).toEqual(['upstream-doubted not-run']);
    world.now += 400;
    expect(world.offer('2')).toEqual([{kind: 'reserve', callId: '2'}]);
    expect(reasonOf(world.offer('3'))).toEqual(['upstream-doubted not-run']);
  });

  it('tells all entries at once, and again when it is trusted', () => {
    const world = doubted();
    world.now += 400;
    world.run('1', 200);
    world.now += 1;
    world.offer('2', {needsGo: false});
    const actions = world.tell({
      kind: 'upstream-answered',
      callId: '2',
      status: 200,
      isShed: false,
      answer: undefined,
    });
    expect(actions).toContainEqual(
      expect.objectContaining({
        kind: 'standing',
        hint: expect.objectContaining({state: 'accepting'}),
      }),
    );
  });

  it('is none whose failures follow from a failed call of its own', () => {
    const world = new GuardWorld(2);
    world.run('well', 200);
    for (const id of ['1', '2', '3']) {
      world.now += 100;
      world.tell({kind: 'own-call-failed'});
      world.now += 5;
      world.run(id, 500);
    }
    expect(world.guard.hintOf(world.now, UPSTREAM)?.state).toBe('accepting');
    world.now += 100;
    world.run('4', 500);
    world.run('5', 500);
    expect(world.guard.hintOf(world.now, UPSTREAM)?.state).toBe('doubted');
  });

  it('is one that lets calls hang, before any of them ended', () => {
    const world = new GuardWorld(2);
    world.run('well', 200);
    const expected = {needsGo: false, expectedMilliseconds: 50};
    world.offer('1', expected);
    world.offer('2', expected);
    world.now = 1000;
    expect(world.tell({kind: 'tick'})).toContainEqual(
      expect.objectContaining({
        event: 'upstream-doubted',
        detail: {remaining: 2000, cause: 'hanging'},
      }),
    );
    expect(world.guard.hintOf(world.now, UPSTREAM)?.state).toBe('doubted');
  });

  it('is one that never answered a call, by what is left of their goals', () => {
    const world = new GuardWorld(6);
    const call = {needsGo: false, usefulUntil: 400};
    const isDoubtedAt = (now: number): boolean => {
      world.now = now;
      return world
        .tell({kind: 'tick'})
        .some((action) => JSON.stringify(action).includes('upstream-doubted'));
    };
    ['1', '2', '3', '4'].forEach((id) => world.offer(id, call));
    expect(isDoubtedAt(200)).toBe(false);
    expect(isDoubtedAt(800)).toBe(true);
  });

  it('gets no call that cannot be repeated while one is late, until it answers', () => {
    const world = new GuardWorld(4);
    world.run('well', 200);
    world.offer('late', {needsGo: false, expectedMilliseconds: 50});
    world.now = 180;
    const once = {repetition: 'at-most-once'} as const;
    expect(reasonOf(world.offer('1', once))).toEqual([
      'upstream-doubted not-run',
    ]);
    expect(world.offer('2')).toEqual([{kind: 'reserve', callId: '2'}]);
    world.tell({
      kind: 'upstream-answered',
      callId: 'late',
      status: 200,
      isShed: false,
      answer: undefined,
    });
    expect(world.offer('3', once)).toEqual([{kind: 'reserve', callId: '3'}]);
  });

  it('lets go of the calls that wait, but for those that have nowhere else to go', () => {
    const world = new GuardWorld(2);
    world.run('well', 200);
    const expected = {needsGo: false, expectedMilliseconds: 50};
    world.offer('1', expected);
    world.offer('2', expected);
    expect(world.offer('3')).toEqual([{kind: 'queue', callId: '3'}]);
    expect(world.offer('4', {mayRunDoubted: true})).toEqual([
      {kind: 'queue', callId: '4'},
    ]);
    world.now = 300;
    const actions = world.tell({kind: 'tick'});
    expect(reasonOf(actions)).toEqual(['upstream-doubted not-run']);
    expect(actions).toContainEqual(
      expect.objectContaining({kind: 'refuse', callId: '3'}),
    );
  });

  it('is none that is late with as many calls as its box holds up', () => {
    const world = new GuardWorld(2, undefined, () => 2);
    world.run('well', 200);
    const expected = {needsGo: false, expectedMilliseconds: 50};
    world.offer('1', expected);
    world.offer('2', expected);
    world.now = 1000;
    world.tell({kind: 'tick'});
    expect(world.guard.hintOf(world.now, UPSTREAM)?.state).toBe('accepting');
  });

  it('is one that is late with more calls than its box holds up', () => {
    const world = new GuardWorld(6, undefined, () => 2);
    world.run('well', 200);
    const expected = {needsGo: false, expectedMilliseconds: 50};
    ['1', '2', '3', '4'].forEach((id) => world.offer(id, expected));
    world.now = 1000;
    world.tell({kind: 'tick'});
    expect(world.guard.hintOf(world.now, UPSTREAM)?.state).toBe('doubted');
  });

  it('runs a repeat from when a second attempt is sent until it ends', () => {
    const world = new GuardWorld(2);
    world.run('1', 200);
    world.offer('2', {needsGo: false, attempt: 1});
    expect(world.guard.runsRepeats).toBe(false);
    world.offer('3', {needsGo: false, attempt: 2});
    expect(world.guard.runsRepeats).toBe(true);
    world.tell({
      kind: 'upstream-answered',
      callId: '3',
      status: 200,
      isShed: false,
      answer: undefined,
    });
    expect(world.guard.runsRepeats).toBe(false);
  });

  it('says nothing of probes once its node leaves, which would refuse them', () => {
    const world = new GuardWorld();
    world.run('1', 500);
    world.run('2', 500);
    expect(world.guard.hintOf(world.now, UPSTREAM)?.probeIn).toBeDefined();
    const told = world.tell({kind: 'leaving'});
    const hint = {state: 'draining', occupied: 0, limit: 1};
    expect(told).toEqual([{kind: 'standing', upstream: UPSTREAM, hint}]);
    expect(world.offer('3', {})).toMatchObject([{kind: 'refuse', hint}]);
  });

  it('gets one call that cannot be repeated at a time until it has answered one', () => {
    const world = new GuardWorld(3);
    const once = {repetition: 'at-most-once'} as const;
    world.offer('1', {...once, needsGo: false});
    expect(reasonOf(world.offer('2', once))).toEqual([
      'upstream-doubted not-run',
    ]);
    world.tell({
      kind: 'upstream-answered',
      callId: '1',
      status: 200,
      isShed: false,
      answer: undefined,
    });
    expect(world.offer('3', once)).toEqual([{kind: 'reserve', callId: '3'}]);
    expect(world.offer('4', once)).toEqual([{kind: 'reserve', callId: '4'}]);
  });
});
