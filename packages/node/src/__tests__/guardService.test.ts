// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The guard's side of exchanges, with a stand-in upstream over HTTP. */

import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {GuardStateMachine} from '@lockpin/brain';
import {StandInUpstream} from '@lockpin/stand-ins';
import {seededRandom} from '@lockpin/utils';
import {UpstreamPools} from '../connection/upstreamPools.js';
import type {ExchangeHandlers} from '../request/exchange.js';
import type {AnswerHead, CallHead, RefusalFrame} from '../request/frames.js';
import {GuardService} from '../request/guardService.js';
import {localUpstream} from './__fixtures__/localUpstream.js';

const NAME = 'customer/service/upstream';

let upstream: StandInUpstream;
let pools: UpstreamPools;
let service: GuardService;
/** Simulated suspension in milliseconds, which advances the clock only. */
let suspended: number;

beforeEach(async () => {
  suspended = 0;
  const random = seededRandom(1);
  upstream = new StandInUpstream({name: NAME, slots: 4, random});
  const address = await upstream.start('127.0.0.1');
  const resource = localUpstream(NAME, address);
  pools = new UpstreamPools();
  pools.configure([resource]);
  const stateMachine = new GuardStateMachine({box: 'box', incarnation: 'a'});
  service = new GuardService({
    clock: () => Date.now() + suspended,
    random,
    stateMachine,
    pools,
    every: (milliseconds, run) => {
      const timer = setInterval(run, milliseconds);
      return () => clearInterval(timer);
    },
    onNodeAction: () => undefined,
  });
  service.handle({
    kind: 'services-changed',
    services: [
      {
        name: 'customer/service',
        sensitivity: 'balanced',
        upstreams: [resource],
      },
    ],
  });
});

afterEach(() => {
  pools.close();
  upstream.stop();
});

function head(requestId: string, change: Partial<CallHead> = {}): CallHead {
  return {
    service: 'customer/service',
    upstream: NAME,
    customer: 'customer',
    weight: 1,
    route: 'route',
    repetition: 'repeatable',
    priority: 5,
    remaining: 5000,
    attempt: 1,
    retryShare: 0.1,
    onceKey: undefined,
    requestDigest: '',
    method: 'GET',
    path: '/',
    headers: ['x-request-id', requestId],
    body: undefined,
    hasMore: false,
    ...change,
  };
}

type Ending =
  | {readonly kind: 'answer'; readonly head: AnswerHead}
  | {readonly kind: 'refusal'; readonly frame: RefusalFrame}
  | {readonly kind: 'lost'};

/** Starts an exchange; `ending` resolves to its result. */
function exchange(call: CallHead): {
  readonly ending: Promise<Ending>;
  readonly cancel: () => void;
} {
  let cancel = (): void => undefined;
  const ending = new Promise<Ending>((resolve) => {
    const handlers: ExchangeHandlers = {
      onContinue: () => undefined,
      onQueued: () => undefined,
      onAnswer: (answer) => resolve({kind: 'answer', head: answer}),
      onChunk: () => true,
      onEnd: () => undefined,
      onRefusal: (frame) => resolve({kind: 'refusal', frame}),
      onLost: () => resolve({kind: 'lost'}),
    };
    cancel = service.begin(call, handlers).cancel;
  });
  return {ending, cancel};
}

function requestIdOf(ending: Ending): string | undefined {
  if (ending.kind !== 'answer') {
    return undefined;
  }
  const text = Buffer.from(ending.head.body ?? '').toString('utf8');
  return (JSON.parse(text) as {readonly requestId: string}).requestId;
}

describe('GuardService', () => {
  it('keeps exchanges with otherwise equal heads apart', async () => {
    const endings = await Promise.all(
      ['one', 'two', 'three'].map((id) => exchange(head(id)).ending),
    );
    expect(endings.map(requestIdOf)).toEqual(['one', 'two', 'three']);
  });

  it('reports the outcome unknown when the deadline passes before the answer', async () => {
    upstream.setBehaviour({workMilliseconds: 2000});
    const ending = await exchange(head('late', {remaining: 60})).ending;
    expect(ending).toMatchObject({
      kind: 'refusal',
      frame: {refusal: {reason: 'deadline-passed', outcome: 'unknown'}},
    });
  });

  it('refuses a truncated answer with the outcome unknown', async () => {
    upstream.setBehaviour({truncateShare: 1});
    const ending = await exchange(head('cut')).ending;
    expect(ending).toMatchObject({
      kind: 'refusal',
      frame: {refusal: {reason: 'upstream-failed', outcome: 'unknown'}},
    });
  });

  it('reports not-run when the upstream cannot be reached', async () => {
    upstream.stop();
    const ending = await exchange(head('gone')).ending;
    expect(ending).toMatchObject({
      kind: 'refusal',
      frame: {refusal: {reason: 'upstream-unreachable', outcome: 'not-run'}},
    });
  });

  it('never runs a queued call that it refused as not-run', async () => {
    upstream.setBehaviour({workMilliseconds: 100});
    const running = exchange(head('running'));
    const queued = exchange(head('queued', {remaining: 55}));
    const ending = await queued.ending;
    await running.ending;
    expect(ending).toMatchObject({
      kind: 'refusal',
      frame: {refusal: {outcome: 'not-run'}},
    });
    const ran = upstream.executions.map(({requestId}) => requestId);
    expect(ran).not.toContain('queued');
  });

  it('runs the next call when the running one is cancelled', async () => {
    upstream.setBehaviour({workMilliseconds: 60_000});
    const left = exchange(head('left'));
    upstream.setBehaviour({workMilliseconds: 1});
    const next = exchange(head('next'));
    left.cancel();
    expect(requestIdOf(await next.ending)).toBe('next');
  });
});

describe('an upstream that states something about itself', () => {
  it('gets no call beyond the limit that it states', async () => {
    upstream.setBehaviour({statedLimit: '0.5'});
    await exchange(head('first')).ending;
    expect(
      await exchange(head('second', {remaining: 1000})).ending,
    ).toMatchObject({
      kind: 'refusal',
      frame: {
        refusal: {reason: 'upstream-over-limit', outcome: 'not-run'},
        hint: {notice: {requestsPerSecond: 0.5}},
      },
    });
    expect(upstream.executions).toHaveLength(1);
  });

  it('gets all calls if its limit is no number', async () => {
    upstream.setBehaviour({statedLimit: 'many'});
    for (const id of ['first', 'second', 'third']) {
      expect(requestIdOf(await exchange(head(id)).ending)).toBe(id);
    }
  });

  it('gets no call after it stated that it is leaving', async () => {
    upstream.setBehaviour({isLeaving: true});
    await exchange(head('first')).ending;
    expect(await exchange(head('second')).ending).toMatchObject({
      frame: {refusal: {reason: 'upstream-draining', outcome: 'not-run'}},
    });
    expect(upstream.executions).toHaveLength(1);
  });
});

describe('a suspension of the machine', () => {
  it('ends overdue calls at once and no others', async () => {
    upstream.setBehaviour({workMilliseconds: 300});
    const long = exchange(head('1', {remaining: 60_000}));
    const short = exchange(head('2', {remaining: 20_000}));
    suspended = 30_000;
    const begun = Date.now();
    service.restartDeadlineTimers();
    expect(await short.ending).toMatchObject({
      frame: {refusal: {reason: 'deadline-passed'}},
    });
    expect(Date.now() - begun).toBeLessThan(250);
    expect((await long.ending).kind).toBe('answer');
  });
});
