// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A stand-in for an upstream, with slots and configurable gray failures. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {App} from '@tinyhttp/app';
import type {RandomSource} from '@lockpin/types';
import {listen, readBody, sendJson} from './http.js';

/** The behaviour of the stand-in upstream; can be changed while it runs. */
export interface UpstreamBehaviour {
  /** Share of calls that fail with 500 while health checks still succeed. */
  readonly errorShare: number;
  /** Factor by which the work of a call takes longer. */
  readonly slowness: number;
  /** Share of answers truncated in the middle of the body. */
  readonly truncateShare: number;
  /** Whether calls run but are never answered, as if the reply were lost. */
  readonly answersCut: boolean;
  /** The mean work of a call, in milliseconds. */
  readonly workMilliseconds: number;
  /** Limit of requests per second that answers state; undefined for none. */
  readonly statedLimit: string | undefined;
  /** Whether answers state that the upstream is leaving. */
  readonly isLeaving: boolean;
}

/** The behaviour of a healthy upstream. */
export const HEALTHY_UPSTREAM_BEHAVIOUR: UpstreamBehaviour = {
  errorShare: 0,
  slowness: 1,
  truncateShare: 0,
  answersCut: false,
  workMilliseconds: 10,
  statedLimit: undefined,
  isLeaving: false,
};

/** One execution of a call, as recorded by the upstream. */
export interface Execution {
  readonly requestId: string;
  readonly path: string;
  readonly upstream: string;
  readonly at: number;
}

/** Options of the stand-in upstream. */
export interface StandInUpstreamOptions {
  readonly name: string;
  readonly slots: number;
  readonly random: RandomSource;
}

/** An HTTP upstream that records each call it executes. */
export class StandInUpstream {
  behaviour: UpstreamBehaviour = HEALTHY_UPSTREAM_BEHAVIOUR;
  readonly executions: Execution[] = [];
  /** The highest number of calls that ran at the same time. */
  peakConcurrency = 0;
  private running = 0;
  private server: Server | undefined;

  constructor(private readonly options: StandInUpstreamOptions) {}

  /** Starts the server; resolves to its address. */
  async start(host: string, port = 0): Promise<string> {
    const app = new App({
      noMatchHandler: (request, response) => {
        void this.run(request, response);
      },
    });
    app.get('/health', (_, response) => sendJson(response, 200, {ok: true}));
    app.get('/load', (_, response) =>
      sendJson(response, 200, {
        running: this.running,
        slots: this.options.slots,
      }),
    );
    const {server, address} = await listen(app, host, port);
    this.server = server;
    return address;
  }

  /** Changes parts of the behaviour. */
  setBehaviour(changes: Partial<UpstreamBehaviour>): void {
    this.behaviour = {...this.behaviour, ...changes};
  }

  stop(): void {
    this.server?.closeAllConnections();
    this.server?.close();
  }

  private async run(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request).catch(() => undefined);
    if (body === undefined || isPastDeadline(request)) {
      response.destroy();
      return;
    }
    const startedAt = performance.now();
    this.running += 1;
    this.peakConcurrency = Math.max(this.peakConcurrency, this.running);
    const requestId = String(request.headers['x-request-id'] ?? '');
    this.executions.push({
      requestId,
      path: request.url ?? '',
      upstream: this.options.name,
      at: Date.now(),
    });
    await this.work();
    this.running -= 1;
    const tookMilliseconds = performance.now() - startedAt;
    this.answer(response, requestId, request.url ?? '', body, tookMilliseconds);
  }

  private async work(): Promise<void> {
    const {workMilliseconds, slowness} = this.behaviour;
    const spread = 0.5 + this.options.random();
    const milliseconds = workMilliseconds * slowness * spread;
    if (milliseconds > 0) {
      await new Promise((resolve) => setTimeout(resolve, milliseconds));
    }
  }

  private setNotice(response: ServerResponse): void {
    const {statedLimit, isLeaving} = this.behaviour;
    if (statedLimit !== undefined) {
      response.setHeader('lockpin-upstream-limit', statedLimit);
    }
    if (isLeaving) {
      response.setHeader('lockpin-upstream-leaving', '1');
    }
  }

  private answer(
    response: ServerResponse,
    requestId: string,
    path: string,
    body: Buffer,
    tookMilliseconds: number,
  ): void {
    const {answersCut, errorShare, truncateShare} = this.behaviour;
    if (answersCut) {
      return;
    }
    this.setNotice(response);
    if (this.options.random() < errorShare) {
      sendJson(response, 500, {error: 'gray failure'});
      return;
    }
    const answer = {
      requestId,
      upstream: this.options.name,
      received: body.length,
      tookMilliseconds,
    };
    const sizeBytes = requestedAnswerBytes(path);
    if (sizeBytes > 0) {
      sendSizedAnswer(
        response,
        sizeBytes,
        this.options.random() < truncateShare,
      );
      return;
    }
    if (this.options.random() < truncateShare) {
      response.writeHead(200, {'content-length': 1000});
      response.write('{"requestId":');
      setImmediate(() => response.destroy());
      return;
    }
    sendJson(response, 200, answer);
  }
}

function isPastDeadline(request: IncomingMessage): boolean {
  const deadline = Number(request.headers['lockpin-deadline']);
  return Number.isFinite(deadline) && deadline > 0 && Date.now() > deadline;
}

const CHUNK_BYTES = 16 * 1024;

/** Answers up to this size are sent in one piece, with all byte values. */
const MAXIMUM_SMALL_BYTES = 4096;

/** The answer size requested by the answerBytes query parameter, in bytes. */
function requestedAnswerBytes(path: string): number {
  const {searchParams} = new URL(path, 'http://upstream');
  return Number(searchParams.get('answerBytes') ?? 0);
}

/** Sends an answer of the given size; a large one in chunks, optionally cut. */
function sendSizedAnswer(
  response: ServerResponse,
  bytes: number,
  isCut: boolean,
): void {
  if (bytes <= MAXIMUM_SMALL_BYTES) {
    response.writeHead(200, {'content-length': bytes});
    response.end(Buffer.from(Array.from({length: bytes}, (_, i) => i & 255)));
    return;
  }
  response.writeHead(200, {'content-type': 'application/octet-stream'});
  const end = isCut ? bytes / 2 : bytes;
  let sent = 0;
  const sendMore = (): void => {
    while (sent < end) {
      const length = Math.min(CHUNK_BYTES, end - sent);
      sent += length;
      if (!response.write(Buffer.alloc(length, 7))) {
        response.once('drain', sendMore);
        return;
      }
    }
    if (isCut) {
      setImmediate(() => response.destroy());
    } else {
      response.end();
    }
  };
  sendMore();
}
