// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** An entry on loopback, with guards that a test plays. */

import type {IncomingMessage, Server} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {EntryStateMachine} from '@lockpin/brain';
import type {ServiceView} from '@lockpin/configuration';
import {createLogger} from '@lockpin/logger';
import type {RefusalReason, Repetition, Resource} from '@lockpin/types';
import {seededRandom, success} from '@lockpin/utils';
import {startHttpServer} from '../../connection/httpServer.js';
import {fleetEntrySettings} from '../../process/fleetEntrySettings.js';
import type {CallerRequest} from '../../request/callerRequest.js';
import {EntryService} from '../../request/entryService.js';
import type {ExchangeHandlers} from '../../request/exchange.js';
import type {CallHead} from '../../request/frames.js';
import {sendProblem} from '../../request/problem.js';
import {localUpstream} from './localUpstream.js';

const BOXES = ['a', 'b', 'c', 'd'];

/** An offer to a guard, and what the guard received. */
export class PlayedAttempt {
  readonly chunks: Buffer[] = [];
  hasEnd = false;
  isCancelled = false;
  /** Whether the guard takes more of the body. */
  hasRoom = true;

  constructor(
    readonly head: CallHead,
    readonly handlers: ExchangeHandlers,
  ) {}

  get body(): Buffer {
    return Buffer.concat(this.chunks);
  }

  refuse(
    reason: RefusalReason,
    outcome: 'not-run' | 'unknown' = 'not-run',
  ): void {
    this.handlers.onRefusal({
      refusal: {reason, outcome, retryAfterMilliseconds: 0},
      upstream: this.head.upstream ?? '',
      hint: undefined,
    });
  }

  answer(status: number, body: string | undefined): void {
    this.handlers.onAnswer({
      status,
      headers: [],
      upstream: '',
      hint: undefined,
      ranMilliseconds: 1,
      body: body === undefined ? undefined : Buffer.from(body),
      hasMore: body === undefined,
    });
  }
}

/** An entry of four boxes; each attempt waits for the test to reply. */
export class EntryFixture {
  readonly attempts: PlayedAttempt[] = [];
  /** Whether the entry serves requests. */
  isReady = true;
  /** The time limit of calls. */
  waitMilliseconds = 5000;
  /** The largest body that callers may send. */
  largestBodyBytes = 100_000_000;
  private readonly clients: EntryClient[] = [];
  private server: Server | undefined;

  constructor(private readonly repetition: Repetition = 'at-most-once') {}

  async start(): Promise<void> {
    const entry = this.createEntry();
    this.server = await startHttpServer('127.0.0.1:0', (request, response) => {
      void entry.serve(request, response);
    });
  }

  stop(): void {
    this.clients.forEach(({socket}) => socket.destroy());
    this.server?.closeAllConnections();
    this.server?.close();
  }

  /** The latest attempt; waits for it. */
  async attempt(count: number): Promise<PlayedAttempt> {
    await until(() => this.attempts.length >= count);
    return this.attempts[count - 1] as PlayedAttempt;
  }

  async connect(): Promise<EntryClient> {
    const {port} = this.server?.address() as AddressInfo;
    const socket = connect({port, host: '127.0.0.1', noDelay: true});
    const client = new EntryClient(socket);
    this.clients.push(client);
    await until(() => !socket.connecting);
    return client;
  }

  private createEntry(): EntryService {
    const random = seededRandom(70);
    return new EntryService({
      clock: Date.now,
      random,
      stateMachine: new EntryStateMachine(
        'a',
        'd',
        {isUsable: () => true, incarnation: () => undefined},
        fleetEntrySettings(() => true, {quarantinedFor: () => 0}),
      ),
      logger: createLogger('error', {}),
      metrics: {increment: () => undefined, timing: () => undefined} as never,
      largestBodyBytes: () => this.largestBodyBytes,
      protocol: {
        requestId: () => 'id',
        read: (request) => success(this.callOf(request)),
        callHeaders: () => [],
        answerHeaders: ({headers}) => headers,
        refuse: sendProblem,
      },
      isReady: () => this.isReady,
      isLeaving: () => false,
      mayBeRepeat: () => false,
      incarnation: () => undefined,
      isOwnBox: () => true,
      needsGo: () => false,
      begin: (_box, head, handlers) => {
        const attempt = new PlayedAttempt(head, handlers);
        this.attempts.push(attempt);
        return {
          sendChunk: (bytes) => {
            attempt.chunks.push(bytes);
            return attempt.hasRoom;
          },
          sendEnd: () => (attempt.hasEnd = true),
          go: () => undefined,
          resume: () => undefined,
          cancel: () => (attempt.isCancelled = true),
        };
      },
    });
  }

  private callOf(request: IncomingMessage): CallerRequest {
    const route: Resource<'Route'> = {
      kind: 'Route',
      name: 's/r',
      version: 1,
      spec: {
        method: '*',
        pathPrefix: '/',
        repetition: this.repetition,
        waitMilliseconds: this.waitMilliseconds,
        priority: 1,
        retryShare: 0.2,
        onceKeyHeader: '',
      },
    };
    const view: ServiceView = {
      name: 's',
      customer: 's',
      routes: [route],
      service: {} as ServiceView['service'],
      upstreams: BOXES.map((box) => localUpstream(`s/${box}`, '', {box})),
    };
    return {
      view,
      route,
      customer: 's',
      weight: 1,
      priority: 1,
      keyOwner: undefined,
      caller: '',
      path: request.url ?? '/',
      waitMilliseconds: this.waitMilliseconds,
      onceKey: undefined,
      isFirstWithKey: false,
      isCallersRetry: false,
      version: 1,
    };
  }
}

/** A client on a plain connection. */
export class EntryClient {
  received = '';
  hasEnd = false;
  error = '';

  constructor(readonly socket: Socket) {
    socket.on('data', (bytes) => (this.received += bytes.toString('latin1')));
    socket.on('end', () => (this.hasEnd = true));
    socket.on('error', (error: NodeJS.ErrnoException) => {
      this.error = error.code ?? error.message;
    });
  }

  /** Sends the head of a request with a body of a length, or in chunks. */
  sendHead(path: string, length: number | 'chunked'): void {
    const framing =
      length === 'chunked'
        ? 'transfer-encoding: chunked'
        : `content-length: ${length}`;
    this.socket.write(`POST ${path} HTTP/1.1\r\nhost: x\r\n${framing}\r\n\r\n`);
  }

  sendChunk(bytes: Buffer): void {
    this.socket.write(`${bytes.length.toString(16)}\r\n`);
    this.socket.write(bytes);
    this.socket.write('\r\n');
  }

  sendLastChunk(): void {
    this.socket.write('0\r\n\r\n');
  }

  /** The statuses of the answers received so far. */
  get statuses(): readonly number[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(
      ([, status]) => Number(status),
    );
  }
}

/** Waits for a condition; a test that waits in vain times out. */
export async function until(holds: () => boolean): Promise<void> {
  while (!holds()) {
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
}

/** A body in which no two parts are alike. */
export function bodyOf(bytes: number): Buffer {
  const lines = Array.from({length: Math.ceil(bytes / 10)}, (_, i) =>
    `${i}\n`.padStart(10, '0'),
  );
  return Buffer.from(lines.join('')).subarray(0, bytes);
}
