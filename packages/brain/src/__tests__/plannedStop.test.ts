// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which calls a node still begins while it stops. */

import {RecentDurations} from '@lockpin/routing';
import type {Repetition, Resource} from '@lockpin/types';
import {seededRandom} from '@lockpin/utils';
import {describe, expect, it} from 'vitest';
import type {EntryAction, EntryCall} from '../entry/entryMessages.js';
import {DEFAULT_ENTRY_SETTINGS} from '../entry/entrySettings.js';
import {EntryStateMachine} from '../entry/entryStateMachine.js';
import {latestStart} from '../plannedStop.js';
import type {StoppableCall} from '../plannedStop.js';
import {
  GuardHarness,
  UPSTREAM,
  refusalsOf,
} from './__fixtures__/guardHarness.js';

const STOP = {endsAt: 5000, callersGoneAt: 2000};

/** Enough that the durations of a kind count as known. */
const SAMPLES = 8;

const CALL: StoppableCall = {
  deadline: 9000,
  repetition: 'at-most-once',
  kind: 'r',
  presumedMilliseconds: undefined,
};

function durationsOf(...milliseconds: readonly number[]): RecentDurations {
  const recent = new RecentDurations();
  milliseconds.forEach((each) => recent.add('r', each));
  return recent;
}

describe('the latest start of a call as a node stops', () => {
  const unknown = durationsOf();

  it('is any time if its deadline comes before the end', () => {
    const call = {...CALL, deadline: STOP.endsAt};
    expect(latestStart(STOP.endsAt, call, durationsOf(9, 9, 9, 9, 9))).toBe(
      Infinity,
    );
    expect(latestStart(STOP.endsAt, call, unknown)).toBe(Infinity);
  });

  it('leaves the time that such calls take, and a margin', () => {
    const start = latestStart(
      STOP.endsAt,
      CALL,
      durationsOf(900, 1e3, 1e3, 1e3, 800),
    );
    expect(start).toBeLessThan(4000);
    expect(start).toBeGreaterThan(3500);
  });

  it('leaves more time to a call that may not be repeated', () => {
    const spread = durationsOf(...Array.from({length: 32}, (_, i) => 50 * i));
    const repeatable = {...CALL, repetition: 'repeatable' as const};
    expect(latestStart(STOP.endsAt, CALL, spread)).toBeLessThan(
      latestStart(STOP.endsAt, repeatable, spread),
    );
  });

  it('leaves the presumed time while no durations are known', () => {
    const call = {...CALL, presumedMilliseconds: 1000};
    const start = latestStart(STOP.endsAt, call, unknown);
    expect(start).toBeLessThan(4000);
    expect(start).toBeGreaterThan(3500);
  });

  it('is never for a call that may not be repeated if nothing is known', () => {
    expect(latestStart(STOP.endsAt, CALL, unknown)).toBe(-Infinity);
    const repeatable = {...CALL, repetition: 'repeatable' as const};
    expect(latestStart(STOP.endsAt, repeatable, unknown)).toBe(STOP.endsAt);
  });
});

/** An entry with two upstreams that takes calls of one route. */
class EntryHarness {
  now = 0;
  readonly entry = new EntryStateMachine(
    'own',
    'd',
    {isUsable: () => true, incarnation: () => undefined},
    {...DEFAULT_ENTRY_SETTINGS, hedgesOverdue: true},
  );
  private readonly random = seededRandom(1);
  private serial = 0;

  constructor(private readonly repetition: Repetition = 'at-most-once') {}

  handle(
    event: Parameters<EntryStateMachine['handle']>[2],
  ): readonly EntryAction[] {
    return this.entry.handle(this.now, this.random, event);
  }

  arrive(deadline = 60_000): readonly EntryAction[] {
    this.serial += 1;
    const route: Resource<'Route'> = {
      kind: 'Route',
      name: 'r',
      version: 1,
      spec: {
        method: '*',
        pathPrefix: '/',
        repetition: this.repetition,
        waitMilliseconds: 60_000,
        priority: 1,
        retryShare: 1,
        onceKeyHeader: '',
      },
    };
    const call: EntryCall = {
      id: this.id,
      view: {
        name: 's',
        customer: 's',
        routes: [],
        service: {} as EntryCall['view']['service'],
        upstreams: ['one', 'two'].map((box) => ({
          kind: 'Upstream',
          name: `s/${box}`,
          version: 1,
          spec: {
            address: '',
            dataCentre: 'd',
            box,
            slots: 4,
            connections: 4,
            state: 'in-service',
          },
        })),
      },
      route,
      customer: 'c',
      requestDigest: '',
      bytes: 0,
      deadline,
      onceKey: undefined,
      isFirstWithKey: false,
      isReplayable: true,
      isCallersRetry: false,
    };
    return this.handle({kind: 'call-arrived', call});
  }

  /** The id of the latest call. */
  get id(): string {
    return String(this.serial);
  }

  /** Serves so many calls of a duration that it is known. */
  learn(milliseconds: number): this {
    for (let i = 0; i < SAMPLES; i += 1) {
      this.arrive();
      this.answer(200, milliseconds);
      this.handle({kind: 'answer-ended', callId: this.id});
    }
    return this;
  }

  answer(status: number, ranMilliseconds = 1): readonly EntryAction[] {
    return this.handle({
      kind: 'attempt-answered',
      callId: this.id,
      status,
      isWhole: true,
      hint: undefined,
      ranMilliseconds,
    });
  }

  stopAt(now: number): this {
    this.handle({kind: 'stopping', stop: STOP});
    this.now = now;
    return this;
  }
}

const kinds = (actions: readonly EntryAction[]): readonly string[] =>
  actions.map((action) =>
    action.kind === 'refuse'
      ? `${action.refusal.reason} ${action.refusal.outcome}`
      : action.kind,
  );

describe('an entry whose node stops', () => {
  it('serves a call that can end, and refuses one that can not until callers are gone', () => {
    const quick = new EntryHarness().learn(200).stopAt(1500);
    expect(kinds(quick.arrive())).toEqual(['attempt']);
    const long = new EntryHarness().learn(4000).stopAt(1500);
    expect(long.arrive()).toEqual([
      {
        kind: 'refuse',
        callId: long.id,
        refusal: {
          reason: 'node-leaving',
          outcome: 'not-run',
          retryAfterMilliseconds: STOP.callersGoneAt - 1500,
        },
      },
    ]);
  });

  // Guards against a delay so long that the caller does not come back.
  it('tells no caller to wait for more than a third of its time', () => {
    const harness = new EntryHarness().learn(4900).stopAt(200);
    expect(harness.arrive(5300)).toMatchObject([
      {refusal: {reason: 'node-leaving', retryAfterMilliseconds: 1700}},
    ]);
  });

  it('serves a call whose deadline comes before the end', () => {
    const harness = new EntryHarness().learn(4000).stopAt(1500);
    expect(kinds(harness.arrive(STOP.endsAt))).toEqual(['attempt']);
  });

  it('offers a refused call again only while it can still end', () => {
    const refuse = (harness: EntryHarness): readonly EntryAction[] =>
      harness.handle({
        kind: 'attempt-refused',
        callId: harness.id,
        refusal: {
          reason: 'upstream-draining',
          outcome: 'not-run',
          retryAfterMilliseconds: 0,
        },
        upstream: 's/one',
        hint: undefined,
      });
    const harness = new EntryHarness().learn(1000).stopAt(1500);
    harness.arrive();
    expect(kinds(refuse(harness))).toEqual(['attempt']);
    harness.arrive();
    harness.now = 4200;
    expect(kinds(refuse(harness))).toEqual(['node-leaving not-run']);
  });

  it('lets a call that waits elsewhere start only while it can still end', () => {
    const harness = new EntryHarness().learn(1000).stopAt(1500);
    harness.arrive();
    expect(harness.entry.mayStart(3500, harness.id)).toBe(true);
    expect(harness.entry.mayStart(4200, harness.id)).toBe(false);
  });

  it('neither hedges nor repeats a call that could not end elsewhere', () => {
    const harness = new EntryHarness('repeatable').learn(1000).stopAt(1500);
    harness.arrive();
    harness.now = 4200;
    const {id: callId} = harness;
    expect(harness.handle({kind: 'attempt-overdue', callId})).toEqual([]);
    expect(kinds(harness.answer(500))).toEqual(['pass-answer']);
  });
});

describe('a guard whose node stops', () => {
  const once = {
    repetition: 'at-most-once',
    expectedMilliseconds: 1000,
  } as const;

  it('refuses a call that gets its slot too late to end', () => {
    const harness = new GuardHarness();
    harness.run('0', 200);
    harness.offer('1', {...once, needsGo: false});
    harness.offer('2', {...once, needsGo: false});
    harness.handle({kind: 'leaving', stop: STOP});
    harness.now = 4200;
    const actions = harness.handle({
      kind: 'upstream-answered',
      callId: '1',
      status: 200,
      isShed: false,
      answer: undefined,
    });
    expect(refusalsOf(actions)).toEqual(['node-leaving not-run']);
    expect(actions.map(({kind}) => kind)).not.toContain('run');
  });

  it('runs a call that gets its slot in time', () => {
    const harness = new GuardHarness();
    harness.run('0', 200);
    harness.offer('1', {...once, needsGo: false});
    harness.offer('2', {...once, needsGo: false});
    harness.handle({kind: 'leaving', stop: STOP});
    harness.now = 1000;
    expect(
      harness.handle({
        kind: 'upstream-answered',
        callId: '1',
        status: 200,
        isShed: false,
        answer: undefined,
      }),
    ).toContainEqual({kind: 'run', callId: '2', upstream: UPSTREAM});
  });

  const leaving = (slots: number): GuardHarness => {
    const harness = new GuardHarness(slots);
    harness.run('0', 200);
    harness.handle({kind: 'leaving', stop: STOP});
    harness.now = 500;
    return harness;
  };

  it('takes a new call that ends before callers are gone, and no longer one', () => {
    const harness = leaving(2);
    expect(harness.offer('1', {...once, expectedMilliseconds: 600})).toEqual([
      {kind: 'reserve', callId: '1'},
    ]);
    expect(refusalsOf(harness.offer('2', once))).toEqual([
      'node-leaving not-run',
    ]);
  });

  it('takes no new call once callers are gone', () => {
    const harness = leaving(1);
    harness.now = STOP.callersGoneAt;
    const call = {...once, expectedMilliseconds: 1};
    expect(refusalsOf(harness.offer('1', call))).toEqual([
      'node-leaving not-run',
    ]);
  });

  it('lets no new call wait for a slot', () => {
    const harness = leaving(1);
    const call = {...once, expectedMilliseconds: 600};
    harness.offer('1', call);
    expect(refusalsOf(harness.offer('2', call))).toEqual([
      'upstream-busy not-run',
    ]);
  });

  it('announces for how long its upstream is a fallback, if it is healthy', () => {
    const harness = new GuardHarness();
    const hintAfterStop = (): unknown =>
      harness.handle({kind: 'leaving', stop: STOP});
    expect(hintAfterStop()).toMatchObject([
      {hint: {state: 'draining', fallbackFor: STOP.callersGoneAt}},
    ]);
    harness.offer('1', {needsGo: false});
    harness.handle({kind: 'upstream-failed', callId: '1', wasSent: true});
    expect(hintAfterStop()).toMatchObject([
      {hint: expect.not.objectContaining({fallbackFor: expect.anything()})},
    ]);
  });

  it('refuses a late go signal, and says that its upstream is out of reach', () => {
    const harness = new GuardHarness();
    harness.run('0', 200);
    harness.offer('1', {...once, deadline: 60_000});
    harness.handle({kind: 'leaving', stop: {...STOP, endsAt: 150}});
    harness.now = 100;
    const actions = harness.handle({
      kind: 'call-go',
      callId: '1',
      requestDigest: '',
    });
    expect(refusalsOf(actions)).toEqual(['node-leaving not-run']);
    expect(actions).toContainEqual(
      expect.objectContaining({
        hint: expect.objectContaining({state: 'draining'}),
      }),
    );
  });
});
