// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Tests slots reserved until the entry's go signal, retries and doubt. */

import {describe, expect, it} from 'vitest';
import {RejectionLimit} from '@lockpin/admission';
import {RetryBudget} from '@lockpin/routing';
import {DEFAULT_GUARD_SETTINGS} from '../guard/guardSettings.js';
import {GuardStateMachine} from '../guard/guardStateMachine.js';
import {
  GuardHarness,
  UPSTREAM,
  refusalsOf,
} from './__fixtures__/guardHarness.js';

const {reservationMilliseconds} = DEFAULT_GUARD_SETTINGS;

describe('a reservation', () => {
  it('runs only after the go signal of the entry', () => {
    const harness = new GuardHarness();
    expect(harness.offer('1')).toEqual([{kind: 'reserve', callId: '1'}]);
    expect(harness.handle({kind: 'call-go', callId: '1'})).toEqual([
      {kind: 'run', callId: '1', upstream: UPSTREAM},
    ]);
  });

  it('is given back unrun when no go comes, and a late go does nothing', () => {
    const harness = new GuardHarness();
    harness.offer('1');
    harness.now = reservationMilliseconds + 1;
    expect(refusalsOf(harness.handle({kind: 'tick'}))).toEqual([
      'reservation-expired not-run',
    ]);
    expect(harness.handle({kind: 'call-go', callId: '1'})).toEqual([]);
    expect(harness.offer('2')).toEqual([{kind: 'reserve', callId: '2'}]);
  });

  it('is given back unrun when the entry cancels it', () => {
    const harness = new GuardHarness();
    harness.offer('1');
    const actions = harness.handle({kind: 'call-cancelled', callId: '1'});
    expect(refusalsOf(actions)).toEqual(['caller-left not-run']);
    expect(actions.map(({kind}) => kind)).not.toContain('abort');
  });

  it('passes its slot to the next call when it is cancelled', () => {
    const harness = new GuardHarness();
    harness.offer('1');
    expect(harness.offer('2')).toEqual([{kind: 'queue', callId: '2'}]);
    expect(
      harness.handle({kind: 'call-cancelled', callId: '1'}),
    ).toContainEqual({
      kind: 'reserve',
      callId: '2',
    });
  });

  it('is refused at once if the call may not wait for a slot', () => {
    const harness = new GuardHarness();
    harness.offer('1');
    expect(refusalsOf(harness.offer('2', {mayWait: false}))).toEqual([
      'upstream-busy not-run',
    ]);
  });

  it('stays truthful when the upstream drains before the go', () => {
    const harness = new GuardHarness();
    harness.offer('1');
    harness.configure({state: 'draining'});
    const actions = harness.handle({kind: 'call-go', callId: '1'});
    expect(actions.map(({kind}) => kind)).not.toContain('run');
    expect(refusalsOf(actions)).toEqual(['upstream-draining not-run']);
  });
});

describe('a retry', () => {
  const createEmptyBudget = (): RetryAllowance => new RetryBudget(0);

  it('is refused at once if no first attempts have paid for it', () => {
    const harness = new GuardHarness(2, createEmptyBudget);
    expect(refusalsOf(harness.offer('1', {attempt: 2}))).toEqual([
      'retries-exhausted not-run',
    ]);
  });

  it('is paid for by first attempts that were sent, not by offers', () => {
    const harness = new GuardHarness(2, createEmptyBudget);
    const paying = {retryShare: 0.5};
    harness.offer('1', paying);
    harness.offer('2', paying);
    expect(
      refusalsOf(harness.offer('3', {attempt: 2, mayWait: false})),
    ).toEqual(['retries-exhausted not-run']);
    harness.handle({kind: 'call-go', callId: '1'});
    harness.handle({kind: 'call-go', callId: '2'});
    expect(harness.offer('4', {attempt: 2})).toEqual([
      {kind: 'queue', callId: '4'},
    ]);
  });

  // Guards against a service exceeding its budget by calls that no caller sent.
  it('is not paid for by nested calls', () => {
    const harness = new GuardHarness(3, createEmptyBudget);
    const nested = {isNested: true, needsGo: false, retryShare: 1};
    harness.offer('1', nested);
    expect(refusalsOf(harness.offer('2', {attempt: 2}))).toEqual([
      'retries-exhausted not-run',
    ]);
  });

  it('costs nothing unless it is sent, and is never sent unpaid', () => {
    const harness = new GuardHarness(3, () => new RetryBudget(1));
    harness.offer('1', {attempt: 2});
    harness.offer('2', {attempt: 2});
    harness.offer('3', {attempt: 2});
    harness.handle({kind: 'call-cancelled', callId: '1'});
    const sent = harness.handle({kind: 'call-go', callId: '2'});
    expect(sent).toEqual([{kind: 'run', callId: '2', upstream: UPSTREAM}]);
    const unpaid = harness.handle({kind: 'call-go', callId: '3'});
    expect(refusalsOf(unpaid)).toEqual(['retries-exhausted not-run']);
  });

  it('takes one more where a first attempt may be a repeat of its caller', () => {
    const harness = new GuardHarness(3, () => new RetryBudget(1));
    harness.offer('1', {needsGo: false, mayBeRepeat: true});
    expect(refusalsOf(harness.offer('2', {attempt: 2}))).toEqual([
      'retries-exhausted not-run',
    ]);
  });
});

describe('a queued call', () => {
  it('is refused at once when its upstream begins to drain', () => {
    const harness = new GuardHarness();
    harness.offer('1', {needsGo: false});
    harness.offer('2');
    const upstream = {state: 'draining', slots: 1} as const;
    expect(refusalsOf(harness.configure(upstream))).toEqual([
      'upstream-draining not-run',
    ]);
  });
});

describe('a leaving node', () => {
  it('refuses calls at once and reports to entries that it is draining', () => {
    const harness = new GuardHarness();
    harness.handle({kind: 'leaving'});
    expect(harness.offer('1')).toMatchObject([
      {
        refusal: {reason: 'node-leaving', outcome: 'not-run'},
        hint: {state: 'draining'},
      },
    ]);
  });
});

describe('a refusal by an upstream', () => {
  it('is reported as not run', () => {
    const harness = new GuardHarness();
    harness.offer('1', {needsGo: false});
    const actions = harness.handle({
      kind: 'upstream-refused',
      callId: '1',
      reason: 'upstream-refused',
    });
    expect(refusalsOf(actions)).toEqual(['upstream-refused not-run']);
  });

  // Guards against an arrival at a second upstream that nothing counts: the
  // entry takes a call from a replaced upstream elsewhere at no cost.
  it('uses a retry if another process has the address of the upstream', () => {
    const harness = new GuardHarness(3, () => new RetryBudget(1));
    harness.offer('1', {needsGo: false});
    const reason = 'upstream-replaced';
    harness.handle({kind: 'upstream-refused', callId: '1', reason});
    harness.configure({incarnation: {id: 'i-2', startedAt: 0}});
    expect(refusalsOf(harness.offer('2', {attempt: 2}))).toEqual([
      'retries-exhausted not-run',
    ]);
  });

  // Guards against more calls than an overloaded upstream takes.
  it('lowers the limit if only calls beside three others are rejected', () => {
    const guard = new GuardStateMachine(
      {box: 'box', incarnation: 'a'},
      {
        ...DEFAULT_GUARD_SETTINGS,
        hasQuickDoubt: true,
        admission: {
          createLimit: (slots, cold) => new RejectionLimit(slots, cold),
        },
      },
    );
    const harness = new GuardHarness(8, undefined, undefined, guard);
    const call = {needsGo: false, mayRunDoubted: true};
    ['1', '2', '3'].forEach((id) => harness.offer(id, call));
    for (let i = 0; i < 10; i += 1) {
      harness.now += 10;
      harness.offer(`more ${i}`, call);
      harness.handle({
        kind: 'upstream-refused',
        callId: `more ${i}`,
        reason: 'upstream-refused',
      });
    }
    expect(guard.hintOf(harness.now, UPSTREAM)?.limit).toBe(3);
  });

  it('excludes the upstream while another process has its address', () => {
    const harness = new GuardHarness();
    harness.offer('1', {needsGo: false});
    harness.handle({
      kind: 'upstream-refused',
      callId: '1',
      reason: 'upstream-replaced',
    });
    expect(refusalsOf(harness.offer('2', {mayRunDoubted: true}))).toEqual([
      'upstream-replaced not-run',
    ]);
    harness.configure({incarnation: {id: 'i-2', startedAt: 0}});
    expect(harness.offer('3')).toEqual([{kind: 'reserve', callId: '3'}]);
  });
});

describe('a doubted upstream', () => {
  function createDoubted(): GuardHarness {
    const harness = new GuardHarness(2);
    harness.run('well', 200);
    harness.offer('bad', {needsGo: false});
    const failed = {callId: 'bad', wasSent: true} as const;
    harness.handle({kind: 'upstream-failed', ...failed});
    return harness;
  }

  it('gets non-repeatable calls only as a last resort', () => {
    const harness = createDoubted();
    const atMostOnce = {repetition: 'at-most-once'} as const;
    expect(refusalsOf(harness.offer('1', atMostOnce))).toEqual([
      'upstream-doubted not-run',
    ]);
    expect(harness.offer('2', {...atMostOnce, mayRunDoubted: true})).toEqual([
      {kind: 'reserve', callId: '2'},
    ]);
  });

  it.each([
    ['repeatable', 1000],
    ['at-most-once', 1500],
  ] as const)(
    'gets a %s call as a trial after %i ms without one',
    (repetition, wait) => {
      const harness = createDoubted();
      const call = {repetition, attempt: 2, isTrial: true} as const;
      harness.now = wait - 1;
      expect(refusalsOf(harness.offer('1', call))).toEqual([
        'upstream-doubted not-run',
      ]);
      harness.now = wait;
      expect(harness.offer('2', call)).toEqual([
        {kind: 'reserve', callId: '2'},
      ]);
      expect(refusalsOf(harness.offer('3', call))).toEqual([
        'upstream-doubted not-run',
      ]);
    },
  );

  it('includes the doubt reason when it refuses an at-most-once call', () => {
    const atMostOnce = {repetition: 'at-most-once'} as const;
    const doubtReasonsOf = (harness: GuardHarness) =>
      harness
        .offer('refused', atMostOnce)
        .flatMap((action) =>
          action.kind === 'refuse' ? [action.doubtReason] : [],
        );
    const unproven = new GuardHarness(3);
    unproven.offer('1', {...atMostOnce, needsGo: false});
    expect(doubtReasonsOf(unproven)).toEqual(['unproven']);
    const late = new GuardHarness(3);
    late.run('well', 200);
    late.offer('late', {needsGo: false, expectedMilliseconds: 50});
    late.now = 180;
    expect(doubtReasonsOf(late)).toEqual(['late-calls']);
    expect(doubtReasonsOf(createDoubted())).toEqual(['bad-calls']);
  });

  it('gets one repeatable call as a probe after a delay', () => {
    const harness = createDoubted();
    expect(refusalsOf(harness.offer('1'))).toEqual([
      'upstream-doubted not-run',
    ]);
    harness.now += 400;
    expect(harness.offer('2')).toEqual([{kind: 'reserve', callId: '2'}]);
    expect(refusalsOf(harness.offer('3'))).toEqual([
      'upstream-doubted not-run',
    ]);
  });

  it('is reported to entries as accepting when it is trusted again', () => {
    const harness = createDoubted();
    harness.now += 400;
    harness.run('1', 200);
    harness.now += 1;
    harness.offer('2', {needsGo: false});
    const actions = harness.handle({
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
    const harness = new GuardHarness(2);
    harness.run('well', 200);
    for (const id of ['1', '2', '3']) {
      harness.now += 100;
      harness.handle({kind: 'own-call-failed'});
      harness.now += 5;
      harness.run(id, 500);
    }
    expect(harness.guard.hintOf(harness.now, UPSTREAM)?.state).toBe(
      'accepting',
    );
    harness.now += 100;
    harness.run('4', 500);
    harness.run('5', 500);
    expect(harness.guard.hintOf(harness.now, UPSTREAM)?.state).toBe('doubted');
  });

  it('is one that lets calls hang, before any of them ended', () => {
    const harness = new GuardHarness(2);
    harness.run('well', 200);
    const expected = {needsGo: false, expectedMilliseconds: 50};
    harness.offer('1', expected);
    harness.offer('2', expected);
    harness.now = 1000;
    expect(harness.handle({kind: 'tick'})).toContainEqual(
      expect.objectContaining({
        event: 'upstream-doubted',
        detail: {remaining: 2000, cause: 'hanging'},
      }),
    );
    expect(harness.guard.hintOf(harness.now, UPSTREAM)?.state).toBe('doubted');
  });

  it('is one that has never answered a call and misses their time goals', () => {
    const harness = new GuardHarness(6);
    const call = {needsGo: false, usefulUntil: 400};
    const isDoubtedAt = (now: number): boolean => {
      harness.now = now;
      return harness
        .handle({kind: 'tick'})
        .some((action) => JSON.stringify(action).includes('upstream-doubted'));
    };
    ['1', '2', '3', '4'].forEach((id) => harness.offer(id, call));
    expect(isDoubtedAt(200)).toBe(false);
    expect(isDoubtedAt(800)).toBe(true);
  });

  it('gets no non-repeatable calls while one of its calls is late', () => {
    const harness = new GuardHarness(4);
    harness.run('well', 200);
    harness.offer('late', {needsGo: false, expectedMilliseconds: 50});
    harness.now = 180;
    const atMostOnce = {repetition: 'at-most-once'} as const;
    expect(refusalsOf(harness.offer('1', atMostOnce))).toEqual([
      'upstream-doubted not-run',
    ]);
    expect(harness.offer('2')).toEqual([{kind: 'reserve', callId: '2'}]);
    harness.handle({
      kind: 'upstream-answered',
      callId: 'late',
      status: 200,
      isShed: false,
      answer: undefined,
    });
    expect(harness.offer('3', atMostOnce)).toEqual([
      {kind: 'reserve', callId: '3'},
    ]);
  });

  it('has its queued calls refused, except those that may run on it', () => {
    const harness = new GuardHarness(2);
    harness.run('well', 200);
    const expected = {needsGo: false, expectedMilliseconds: 50};
    harness.offer('1', expected);
    harness.offer('2', expected);
    expect(harness.offer('3')).toEqual([{kind: 'queue', callId: '3'}]);
    expect(harness.offer('4', {mayRunDoubted: true})).toEqual([
      {kind: 'queue', callId: '4'},
    ]);
    harness.now = 300;
    const actions = harness.handle({kind: 'tick'});
    expect(refusalsOf(actions)).toEqual(['upstream-doubted not-run']);
    expect(actions).toContainEqual(
      expect.objectContaining({kind: 'refuse', callId: '3'}),
    );
  });

  it('is none that is late with as many calls as its box holds up', () => {
    const harness = new GuardHarness(2, undefined, () => 2);
    harness.run('well', 200);
    const expected = {needsGo: false, expectedMilliseconds: 50};
    harness.offer('1', expected);
    harness.offer('2', expected);
    harness.now = 1000;
    harness.handle({kind: 'tick'});
    expect(harness.guard.hintOf(harness.now, UPSTREAM)?.state).toBe(
      'accepting',
    );
  });

  it('is one that is late with more calls than its box holds up', () => {
    const harness = new GuardHarness(6, undefined, () => 2);
    harness.run('well', 200);
    const expected = {needsGo: false, expectedMilliseconds: 50};
    ['1', '2', '3', '4'].forEach((id) => harness.offer(id, expected));
    harness.now = 1000;
    harness.handle({kind: 'tick'});
    expect(harness.guard.hintOf(harness.now, UPSTREAM)?.state).toBe('doubted');
  });

  it('runs a repeat from when a second attempt is sent until it ends', () => {
    const harness = new GuardHarness(2);
    harness.run('1', 200);
    harness.offer('2', {needsGo: false, attempt: 1});
    expect(harness.guard.runsRepeats).toBe(false);
    harness.offer('3', {needsGo: false, attempt: 2});
    expect(harness.guard.runsRepeats).toBe(true);
    harness.handle({
      kind: 'upstream-answered',
      callId: '3',
      status: 200,
      isShed: false,
      answer: undefined,
    });
    expect(harness.guard.runsRepeats).toBe(false);
  });

  it('announces no probe once its node leaves, which would refuse it', () => {
    const harness = new GuardHarness();
    harness.run('1', 500);
    harness.run('2', 500);
    expect(harness.guard.hintOf(harness.now, UPSTREAM)?.probeIn).toBeDefined();
    const actions = harness.handle({kind: 'leaving'});
    const hint = {state: 'draining', occupied: 0, limit: 1};
    expect(actions).toEqual([{kind: 'standing', upstream: UPSTREAM, hint}]);
    expect(harness.offer('3', {})).toMatchObject([{kind: 'refuse', hint}]);
  });

  it('gets one non-repeatable call at a time until it has answered one', () => {
    const harness = new GuardHarness(3);
    const atMostOnce = {repetition: 'at-most-once'} as const;
    harness.offer('1', {...atMostOnce, needsGo: false});
    expect(refusalsOf(harness.offer('2', atMostOnce))).toEqual([
      'upstream-doubted not-run',
    ]);
    harness.handle({
      kind: 'upstream-answered',
      callId: '1',
      status: 200,
      isShed: false,
      answer: undefined,
    });
    expect(harness.offer('3', atMostOnce)).toEqual([
      {kind: 'reserve', callId: '3'},
    ]);
    expect(harness.offer('4', atMostOnce)).toEqual([
      {kind: 'reserve', callId: '4'},
    ]);
  });
});
