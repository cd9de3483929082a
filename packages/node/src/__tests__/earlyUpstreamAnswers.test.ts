// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Upstreams that answer before the bodies of their requests are in. */

import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {GuardStateMachine} from '@lockpin/brain';
import {seededRandom} from '@lockpin/utils';
import {PeerChannels} from '../connection/peerChannels.js';
import {PeerServer} from '../connection/peerServer.js';
import {UpstreamPools} from '../connection/upstreamPools.js';
import {ControlTraffic} from '../process/controlTraffic.js';
import type {Exchange} from '../request/exchange.js';
import type {CallHead} from '../request/frames.js';
import {GuardService} from '../request/guardService.js';
import {serveGuardStream} from '../request/guardStreams.js';
import {RemoteExchanges} from '../request/remoteExchanges.js';
import {bodyOf, until} from './__fixtures__/entryFixture.js';
import {EXAMPLE_HEAD} from './__fixtures__/exampleFrames.js';
import {localUpstream} from './__fixtures__/localUpstream.js';

const NAME = 's/box';

/** More than the connections on the way of a body hold. */
const BODY = bodyOf(20_000_000);

const CHUNK_BYTES = 64 * 1024;

const NO_TICKS = (): (() => void) => () => undefined;

let upstream: Server;
/** What the upstream's connections have received. */
let received: Buffer[][];
let answer: (socket: Socket) => void;
let pools: UpstreamPools;
let service: GuardService;
let peerServer: PeerServer;
let channels: PeerChannels;
let remote: RemoteExchanges;
let address: string;

beforeEach(async () => {
  received = [];
  upstream = createServer((socket) => {
    const bytes: Buffer[] = [];
    received.push(bytes);
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => bytes.push(chunk));
    socket.once('data', () => answer(socket));
  });
  await new Promise<void>((done) => upstream.listen(0, '127.0.0.1', done));
  const {port} = upstream.address() as AddressInfo;
  const resource = localUpstream(NAME, `127.0.0.1:${port}`);
  pools = new UpstreamPools();
  pools.configure([resource]);
  service = new GuardService({
    clock: Date.now,
    random: seededRandom(70),
    stateMachine: new GuardStateMachine({box: 'box', incarnation: 'a'}),
    pools,
    every: () => () => undefined,
    onNodeAction: () => undefined,
  });
  service.handle({
    kind: 'services-changed',
    services: [{name: 's', sensitivity: 'fast', upstreams: [resource]}],
  });
  peerServer = new PeerServer(
    {
      call: (stream) =>
        serveGuardStream(stream, (head, handlers) =>
          service.begin(head, handlers),
        ),
      exchanges: () => undefined,
      exchange: () => undefined,
    },
    new ControlTraffic(),
    // Nothing but the exchange itself may end its connection.
    {startTicks: NO_TICKS},
  );
  address = await peerServer.start('127.0.0.1:0');
  channels = new PeerChannels(new ControlTraffic(), {startTicks: NO_TICKS});
  remote = new RemoteExchanges((peer) => channels.client(peer));
});

afterEach(() => {
  channels.close();
  peerServer.stop();
  pools.close();
  upstream.close();
});

const HEAD: CallHead = {
  ...EXAMPLE_HEAD,
  service: 's',
  upstream: NAME,
  remaining: 1000,
  method: 'POST',
  path: '/',
  headers: ['host', 'x', 'content-length', String(BODY.length)],
  hasMore: true,
  needsGo: false,
  terms: 'last-resort',
  startWithin: undefined,
};

/** A call that sends its body as fast as its exchange takes it. */
class SendingCall {
  readonly events: string[] = [];
  sent = 0;
  private readonly exchange: Exchange;

  constructor(begin: (head: CallHead, handlers: never) => Exchange) {
    const handlers = {
      onContinue: () => setImmediate(() => this.send()),
      onQueued: () => undefined,
      onAnswer: ({status}: {readonly status: number}) =>
        this.events.push(`status ${status}`),
      onChunk: () => true,
      onEnd: () => this.events.push('end'),
      onRefusal: ({refusal}: {readonly refusal: {readonly reason: string}}) =>
        this.events.push(refusal.reason),
      onLost: () => this.events.push('lost'),
    };
    this.exchange = begin(HEAD, handlers as never);
  }

  get hasSentAll(): boolean {
    return this.sent >= BODY.length;
  }

  send(): void {
    let hasRoom = true;
    while (hasRoom && !this.hasSentAll) {
      const chunk = BODY.subarray(this.sent, this.sent + CHUNK_BYTES);
      this.sent += chunk.length;
      hasRoom = this.exchange.sendChunk(chunk);
    }
  }
}

const BEGIN = {
  'this box': (): SendingCall =>
    new SendingCall((head, handlers) => service.begin(head, handlers)),
  'another box': (): SendingCall =>
    new SendingCall((head, handlers) => remote.begin(address, head, handlers)),
} as const;

const WHOLE = 'HTTP/1.1 500 No\r\ncontent-length: 2\r\n\r\nno';

/** What an upstream does that reads no more; how the call ends. */
const WAYS: readonly (readonly [string, string, (socket: Socket) => void])[] = [
  ['answers', 'status 500', (socket) => socket.write(WHOLE)],
  [
    'answers in chunks',
    'end',
    (socket) =>
      socket.write(
        'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n' +
          `11170\r\n${'x'.repeat(70_000)}\r\n0\r\n\r\n`,
      ),
  ],
  ['closes', 'upstream-failed', (socket) => socket.destroy()],
  ['does not answer', 'deadline-passed', () => undefined],
];

describe.each(Object.entries(BEGIN))('an upstream of %s', (place, begin) => {
  it.each(WAYS)(
    'that %s without the whole body pauses it not for good',
    async (_name, end, act) => {
      answer = (socket) => {
        socket.pause();
        act(socket);
      };
      const call = begin();
      await until(() => call.events.includes(end));
      if (place === 'this box') {
        // The entry sends on until it has seen the end.
        call.send();
        expect(call.hasSentAll).toBe(true);
      }
      // The connection between the boxes ends with the exchange.
      await peerServer.drain();
      expect(service.callCount).toBe(0);
    },
  );

  it('that reads on after its answer gets nothing but its body', async () => {
    let connection: Socket | undefined;
    answer = (socket) => {
      connection = socket;
      socket.pause();
      socket.write(WHOLE);
    };
    const call = begin();
    await until(() => call.events.includes('status 500'));
    answer = (socket) => socket.write(WHOLE);
    const next = begin();
    await until(() => next.events.includes('status 500'));
    connection?.resume();
    await until(() => connection?.closed === true);
    const [bytes = []] = received;
    const text = Buffer.concat(bytes).toString('latin1');
    const body = text.slice(text.indexOf('\r\n\r\n') + 4);
    expect(BODY.toString('latin1').startsWith(body)).toBe(true);
  });
});
