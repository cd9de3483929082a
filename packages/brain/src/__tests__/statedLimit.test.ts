// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A guard whose upstream states a limit of requests per second. */

import {beforeEach, describe, expect, it} from 'vitest';
import {UNLIMITED_RETRIES} from '@lockpin/routing';
import type {UpstreamNotice} from '@lockpin/types';
import type {GuardCall} from '../guard/guardCall.js';
import type {GuardAction, GuardEvent} from '../guard/guardMessages.js';
import {GuardStateMachine} from '../guard/guardStateMachine.js';
import {GuardHarness, refusalsOf} from './__fixtures__/guardHarness.js';

const SLOTS = 4;
const TICK_MILLISECONDS = 50;

let harness: GuardHarness;
let serial: number;

beforeEach(() => {
  harness = new GuardHarness(SLOTS);
  harness.now = 1000;
  serial = 0;
});

function notice(change: Partial<UpstreamNotice>): UpstreamNotice {
  return {
    requestsPerSecond: undefined,
    isLeaving: false,
    unreadableLimit: undefined,
    ...change,
  };
}

/** Runs a call whose answer contains a notice. */
function answerWith(
  stated: Partial<UpstreamNotice>,
  call: Partial<GuardCall> = {},
): readonly GuardAction[] {
  serial += 1;
  const callId = `call-${serial}`;
  harness.offer(callId, {needsGo: false, ...call});
  const event: GuardEvent = {
    kind: 'upstream-stated',
    callId,
    notice: notice(stated),
  };
  const actions = harness.handle(event);
  harness.handle({
    kind: 'upstream-answered',
    callId,
    status: 200,
    isShed: false,
    answer: undefined,
  });
  return actions;
}

const offerAtOnce = (call: Partial<GuardCall> = {}): readonly GuardAction[] => {
  serial += 1;
  return harness.offer(`call-${serial}`, {
    needsGo: false,
    mayWait: false,
    ...call,
  });
};

const isRun = (actions: readonly GuardAction[]): boolean =>
  actions.some(({kind}) => kind === 'run');

const eventsOf = (actions: readonly GuardAction[]): readonly string[] =>
  actions.flatMap((action) =>
    action.kind === 'timeline' ? [action.event] : [],
  );

/** Lets time pass; returns the calls that start meanwhile. */
function passTime(milliseconds: number): readonly string[] {
  const started: string[] = [];
  const end = harness.now + milliseconds;
  while (harness.now < end) {
    harness.now += TICK_MILLISECONDS;
    for (const action of harness.handle({kind: 'tick'})) {
      if (action.kind === 'run') {
        started.push(action.callId);
      }
    }
  }
  return started;
}

describe('a guard whose upstream states a limit', () => {
  it('refuses calls beyond it and says when to come back', () => {
    expect(eventsOf(answerWith({requestsPerSecond: 2}))).toEqual([
      'upstream-limited',
    ]);
    const [refusal] = offerAtOnce();
    expect(refusal).toMatchObject({
      kind: 'refuse',
      refusal: {
        reason: 'upstream-over-limit',
        outcome: 'not-run',
        retryAfterMilliseconds: 500,
      },
      limit: {requestsPerSecond: 2, age: 0},
    });
    passTime(500);
    expect(isRun(offerAtOnce())).toBe(true);
  });

  it('keeps it for first attempts, retries, probes and calls without a choice', () => {
    answerWith({requestsPerSecond: 2});
    const kinds: readonly Partial<GuardCall>[] = [
      {attempt: 2},
      {repetition: 'at-most-once'},
      {mayRunDoubted: true},
      {onceKey: undefined, priority: 0},
    ];
    for (const kind of kinds) {
      expect(refusalsOf(offerAtOnce(kind))).toEqual([
        'upstream-over-limit not-run',
      ]);
    }
  });

  it('starts waiting calls one by one, as the limit allows', () => {
    answerWith({requestsPerSecond: 2});
    for (const id of ['a', 'b', 'c']) {
      harness.offer(id, {needsGo: false});
    }
    expect(passTime(1000)).toEqual(['a', 'b']);
    expect(passTime(500)).toEqual(['c']);
  });

  it('refuses at once what the limit does not allow before its deadline', () => {
    answerWith({requestsPerSecond: 0.5});
    const deadline = harness.now + 1000;
    expect(refusalsOf(harness.offer('late', {deadline}))).toEqual([
      'upstream-over-limit not-run',
    ]);
  });

  it('does not count calls that were reserved and never sent', () => {
    answerWith({requestsPerSecond: 2});
    passTime(500);
    harness.offer('reserved', {mayWait: false});
    harness.handle({kind: 'call-cancelled', callId: 'reserved'});
    expect(isRun(offerAtOnce())).toBe(true);
  });

  it('returns no token for a call that was reserved before the limit', () => {
    harness.offer('reserved', {mayWait: false});
    answerWith({requestsPerSecond: 2});
    harness.handle({kind: 'call-cancelled', callId: 'reserved'});
    expect(isRun(offerAtOnce())).toBe(false);
  });

  it.each([
    ['falls', {requestsPerSecond: 0.5}, 'upstream-limited', 1],
    ['rises', {requestsPerSecond: 4}, 'upstream-limited', 4],
    ['ends', {}, 'upstream-limit-ended', SLOTS],
    [
      'is no number',
      {unreadableLimit: 'many'},
      'upstream-limit-unreadable',
      SLOTS,
    ],
  ])(
    'follows a limit that %s',
    (_name, stated: Partial<UpstreamNotice>, event, started) => {
      answerWith({requestsPerSecond: 2});
      passTime(1000);
      expect(eventsOf(answerWith(stated))).toContain(event);
      passTime(1000);
      const starts = Array.from({length: 8}, () => isRun(offerAtOnce()));
      expect(starts.filter(Boolean)).toHaveLength(started);
    },
  );

  it('tells all entries, but not while its first call is running', () => {
    const tellsEntries = (actions: readonly GuardAction[]): boolean =>
      actions.some(({kind}) => kind === 'standing');
    expect(tellsEntries(answerWith({requestsPerSecond: 2}))).toBe(false);
    passTime(1000);
    expect(tellsEntries(answerWith({requestsPerSecond: 4}))).toBe(true);
  });

  it('reports small changes of a limit neither in the log nor to entries', () => {
    answerWith({requestsPerSecond: 2});
    const limits = [2.1, 2.15, 1.9];
    for (const requestsPerSecond of limits) {
      passTime(1000);
      expect(answerWith({requestsPerSecond})).toEqual([]);
    }
    passTime(1000);
    const [event, ...others] = answerWith({requestsPerSecond: 2.5});
    expect(event).toMatchObject({detail: {requestsPerSecond: 2.5, before: 2}});
    expect(others).toEqual([]);
  });

  it('logs an unreadable limit once as long as its value stays the same', () => {
    const unreadableLimit = 'many';
    expect(eventsOf(answerWith({unreadableLimit}))).toHaveLength(1);
    expect(eventsOf(answerWith({unreadableLimit}))).toHaveLength(0);
  });

  it('holds a limit that answers read at the same moment do not state', () => {
    harness.offer('earlier', {needsGo: false});
    answerWith({requestsPerSecond: 2});
    harness.handle({
      kind: 'upstream-stated',
      callId: 'earlier',
      notice: notice({}),
    });
    expect(refusalsOf(offerAtOnce())).toEqual(['upstream-over-limit not-run']);
  });

  it('reports only the slots that the limit lets it use', () => {
    const guard = new GuardStateMachine({box: 'box', incarnation: 'a'});
    const reported = new GuardHarness(SLOTS, undefined, undefined, guard);
    const usable = (): readonly (number | undefined)[] => {
      reported.now += 5000;
      return guard
        .handle(reported.now, () => 0.5, {kind: 'tick'})
        .flatMap((action) => (action.kind === 'report' ? action.reports : []))
        .map(({usableSlots}) => usableSlots);
    };
    expect(usable()).toEqual([undefined]);
    reported.offer('call', {needsGo: false});
    reported.handle({
      kind: 'upstream-stated',
      callId: 'call',
      notice: notice({requestsPerSecond: 20}),
    });
    expect(usable()).toEqual([expect.closeTo(0.2)]);
  });

  it('does not let a suspension of the box save up calls', () => {
    answerWith({requestsPerSecond: 2});
    const milliseconds = 60_000;
    harness.now += milliseconds;
    harness.handle({kind: 'clock-gained', milliseconds});
    expect(isRun(offerAtOnce())).toBe(false);
  });
});

describe('beside a stated limit', () => {
  it('a refused retry costs nothing of the retry budget', () => {
    let retries = 0;
    harness = new GuardHarness(SLOTS, () => ({
      ...UNLIMITED_RETRIES,
      takeRetry: () => {
        retries += 1;
        return true;
      },
    }));
    answerWith({requestsPerSecond: 0.5});
    expect(refusalsOf(offerAtOnce({attempt: 2}))).toEqual([
      'upstream-over-limit not-run',
    ]);
    expect(retries).toBe(0);
  });

  it('the upstream is not doubted for getting few calls', () => {
    answerWith({requestsPerSecond: 0.5});
    for (let i = 0; i < 5; i += 1) {
      passTime(3000);
      expect(eventsOf(answerWith({requestsPerSecond: 0.5}))).toEqual([]);
    }
    expect(isRun(offerAtOnce({repetition: 'at-most-once'}))).toBe(false);
    passTime(3000);
    expect(isRun(offerAtOnce({repetition: 'at-most-once'}))).toBe(true);
  });

  it('failing calls still bring the upstream into doubt', () => {
    answerWith({requestsPerSecond: 5});
    for (let i = 0; i < 4; i += 1) {
      passTime(300);
      harness.run(`failed ${i}`, 500);
    }
    passTime(300);
    expect(refusalsOf(offerAtOnce({repetition: 'at-most-once'}))).toEqual([
      'upstream-doubted not-run',
    ]);
  });
});

describe('a guard that has restarted', () => {
  const knownNotice = {
    incarnation: 'i-1@0',
    requestsPerSecond: 2,
    isLeaving: false,
  };

  it('learns the limit from an entry and allows one call at first', () => {
    expect(isRun(offerAtOnce({knownNotice}))).toBe(true);
    expect(refusalsOf(offerAtOnce())).toEqual(['upstream-over-limit not-run']);
  });

  it('ignores what an entry knows of another process', () => {
    const earlier = {...knownNotice, incarnation: 'i-0@0'};
    offerAtOnce({knownNotice: earlier});
    expect(isRun(offerAtOnce())).toBe(true);
  });

  it('prefers the answers of the upstream to what entries know', () => {
    answerWith({});
    offerAtOnce({knownNotice});
    expect(isRun(offerAtOnce({knownNotice}))).toBe(true);
  });
});
