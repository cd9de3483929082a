// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A guard before an upstream that answers with raw bytes. */

import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {DEFAULT_GUARD_SETTINGS, GuardStateMachine} from '@lockpin/brain';
import type {OfferTerms} from '@lockpin/brain';
import type {Repetition} from '@lockpin/types';
import {seededRandom} from '@lockpin/utils';
import {UpstreamPools} from '../../connection/upstreamPools.js';
import type {CallHead} from '../../request/frames.js';
import {GuardService} from '../../request/guardService.js';
import {NO_NOTICE} from '../../request/upstreamNotice.js';
import type {AnswerClassification} from '../../request/upstreamProtocol.js';
import {localUpstream} from './localUpstream.js';

const NAME = 's/box';

/** A call whose result is wanted. */
export interface RawCall {
  readonly method?: string;
  readonly repetition?: Repetition;
  readonly terms?: OfferTerms;
  /** Milliseconds until its deadline. */
  readonly remaining?: number;
}

/** The upstream with its guard; made anew for each test. */
export class RawUpstream {
  /** How connections of calls that ended failed, as logged. */
  readonly failures: (string | undefined)[] = [];
  /** Connections that were accepted. */
  readonly sockets: Socket[] = [];
  /** Answers the first request of a connection. */
  answer: (socket: Socket) => void = () => undefined;
  private readonly pools = new UpstreamPools();
  private readonly server: Server;
  private readonly service: GuardService;

  constructor() {
    this.server = createServer((socket) => {
      this.sockets.push(socket);
      socket.on('error', () => undefined);
      socket.once('data', () => this.answer(socket));
    });
    this.service = new GuardService({
      clock: Date.now,
      random: seededRandom(1),
      stateMachine: new GuardStateMachine(
        {box: 'box', incarnation: 'a'},
        {...DEFAULT_GUARD_SETTINGS, hasQuickDoubt: true},
      ),
      pools: this.pools,
      protocol: {
        callHeaders: ({head}) => head.headers,
        classifyAnswer: (_head, _status, headers) =>
          (headers['x-classification'] as AnswerClassification) ?? 'answer',
        readNotice: () => NO_NOTICE,
        buffersUnframed: true,
      },
      every: () => () => undefined,
      onEnded: ({failure}) => this.failures.push(failure),
      onNodeAction: () => undefined,
    });
  }

  async start(): Promise<void> {
    await new Promise<void>((done) => this.server.listen(0, '127.0.0.1', done));
    const {port} = this.server.address() as AddressInfo;
    const address = `127.0.0.1:${port}`;
    const upstream = localUpstream(NAME, address, {connections: 9});
    this.pools.configure([upstream]);
    this.service.handle({
      kind: 'services-changed',
      services: [{name: 's', sensitivity: 'fast', upstreams: [upstream]}],
    });
  }

  stop(): void {
    this.pools.close();
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  /** Makes a call; resolves to the result that the entry receives. */
  call(options: RawCall = {}): Promise<string> {
    return new Promise((resolve) => {
      let received = '';
      this.service.begin(callHead(options), {
        onContinue: () => undefined,
        onQueued: () => undefined,
        onAnswer: ({status, body, hasMore}) => {
          received = `${status} ${Buffer.from(body ?? '')}`;
          if (!hasMore) {
            resolve(received);
          }
        },
        onChunk: (bytes) => {
          received += bytes.length < 99 ? bytes : `${bytes.length} bytes `;
          return true;
        },
        onEnd: () => resolve(received),
        onRefusal: ({refusal}) =>
          resolve(`${refusal.reason} ${refusal.outcome}`),
        onLost: () => resolve('lost'),
      });
    });
  }
}

function callHead(options: RawCall): CallHead {
  return {
    requestId: 'x',
    service: 's',
    upstream: NAME,
    customer: 's',
    weight: 1,
    route: 'r',
    repetition: options.repetition ?? 'repeatable',
    priority: 0,
    remaining: options.remaining ?? 3000,
    attempt: 1,
    retryShare: 0,
    mayBeRepeat: false,
    onceKey: undefined,
    requestDigest: '',
    method: options.method ?? 'GET',
    path: '/',
    headers: ['host', 'x'],
    body: undefined,
    hasMore: false,
    needsGo: false,
    terms: options.terms ?? 'last-resort',
    usefulFor: undefined,
    startWithin: undefined,
    expectedMilliseconds: undefined,
    knownNotice: undefined,
    isNested: false,
  };
}
