// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Exchanges with a guard on another box, over connections on loopback. */

import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {PeerChannels} from '../connection/peerChannels.js';
import {PeerServer} from '../connection/peerServer.js';
import {ControlTraffic} from '../process/controlTraffic.js';
import type {Exchange, ExchangeHandlers} from '../request/exchange.js';
import {serveExchangeStream} from '../request/exchangeStreamServer.js';
import type {AnswerHead, CallHead} from '../request/frames.js';
import {serveGuardStream} from '../request/guardStreams.js';
import {RemoteExchanges} from '../request/remoteExchanges.js';
import {EXAMPLE_HEAD} from './__fixtures__/exampleFrames.js';

let server: PeerServer;
let channels: PeerChannels;
let remote: RemoteExchanges;
let address: string;
/** What the guard was told, and its way to answer. */
let guardEvents: string[];
let guard: ExchangeHandlers;

beforeEach(async () => {
  guardEvents = [];
  const begin = (_head: CallHead, handlers: ExchangeHandlers): Exchange => {
    guard = handlers;
    guardEvents.push('begun');
    return {
      sendChunk: (bytes) => guardEvents.push(`${bytes}`) > 0,
      sendEnd: () => guardEvents.push('end'),
      go: () => guardEvents.push('go'),
      resume: () => undefined,
      cancel: () => guardEvents.push('cancelled'),
    };
  };
  server = new PeerServer(
    {
      call: (stream) => serveGuardStream(stream, begin),
      exchanges: (stream) => serveExchangeStream(stream, begin),
      exchange: () => undefined,
    },
    new ControlTraffic(),
  );
  address = await server.start('127.0.0.1:0');
  channels = new PeerChannels(new ControlTraffic());
  remote = new RemoteExchanges((peer) => channels.client(peer));
});

afterEach(() => {
  channels.close();
  server.stop();
});

/** Begins a call, with or without a streamed body; the entry's events. */
function begin(
  hasMore: boolean,
  change: Partial<CallHead> = {},
): {exchange: Exchange; events: string[]} {
  const events: string[] = [];
  const head = {...EXAMPLE_HEAD, hasMore, needsGo: true, ...change};
  const exchange = remote.begin(address, head, {
    onContinue: () => events.push('continue'),
    onQueued: () => events.push('queued'),
    onAnswer: ({status}) => events.push(`status ${status}`),
    onChunk: (bytes) => events.push(`${bytes}`) > 0,
    onEnd: () => events.push('end'),
    onRefusal: () => events.push('refused'),
    onLost: (wasSent) => events.push(wasSent ? 'lost' : 'never sent'),
  });
  return {exchange, events};
}

/** The head of an answer whose body follows. */
const ANSWER: AnswerHead = {
  status: 200,
  headers: [],
  upstream: '',
  hint: undefined,
  ranMilliseconds: undefined,
  body: undefined,
  hasMore: true,
};

describe.each([true, false])('an exchange (streamed: %s)', (hasMore) => {
  // An answer that is cut short must never look complete to the caller.
  it.each([
    ['the upstream', () => guard.onLost(true)],
    ['the node of the guard', () => server.stop()],
  ])('loses an answer that %s breaks off', async (_who, breakOff) => {
    const {events} = begin(hasMore);
    await expect.poll(() => guardEvents).toEqual(['begun']);
    guard.onAnswer(ANSWER);
    guard.onChunk(Buffer.from('part'));
    await expect.poll(() => events).toEqual(['status 200', 'part']);
    breakOff();
    await expect.poll(() => events).toEqual(['status 200', 'part', 'lost']);
  });

  it('loses an answer with a status of 600, which an earlier release passes on, alone', async () => {
    const {events} = begin(hasMore);
    await expect.poll(() => guardEvents).toEqual(['begun']);
    const first = guard;
    const others = begin(hasMore).events;
    await expect.poll(() => guardEvents).toEqual(['begun', 'begun']);
    first.onAnswer({...ANSWER, status: 600});
    first.onChunk(Buffer.from('part'));
    await expect.poll(() => guardEvents.at(-1)).toBe('cancelled');
    guard.onAnswer(ANSWER);
    await expect.poll(() => others).toEqual(['status 200']);
    expect(events).toEqual(['lost']);
  });

  // Otherwise the upstream would go on for a caller that has left.
  it('is cancelled at the guard', async () => {
    const {exchange, events} = begin(hasMore);
    exchange.sendEnd();
    await expect.poll(() => guardEvents[0]).toBe('begun');
    exchange.cancel();
    await expect.poll(() => guardEvents.at(-1)).toBe('cancelled');
    expect(events).toEqual([]);
  });

  it('was never sent to a box that is gone', async () => {
    server.stop();
    const {events} = begin(hasMore);
    await expect.poll(() => events).toEqual(['never sent']);
  });
});

// A guard has no place for a body before its upstream asks for it.
it('asks for no body before the guard does, however long its head is', async () => {
  const {events} = begin(true, {headers: ['x', 'y'.repeat(200_000)]});
  await expect.poll(() => guardEvents).toEqual(['begun']);
  expect(events).toEqual([]);
  guard.onContinue();
  await expect.poll(() => events).toEqual(['continue']);
});

it('is broken off when a part of the body comes before the guard asks', async () => {
  const {exchange, events} = begin(true);
  await expect.poll(() => guardEvents).toEqual(['begun']);
  exchange.sendChunk(Buffer.from('early'));
  await expect.poll(() => guardEvents).toEqual(['begun', 'cancelled']);
  await expect.poll(() => events).toEqual(['lost']);
});
