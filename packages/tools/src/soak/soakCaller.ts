// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A caller on a box, which reuses its connection until the node closes it. */

import {Agent, request as httpRequest} from 'node:http';
import type {IncomingMessage} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {readAnswerClaims, requestHeaders} from '@lockpin/platform-stand-ins';
import type {RandomSource} from '@lockpin/types';
import {parseAddress} from '@lockpin/utils';
import {SOAK_HOST, soakRoutes} from './soakConfiguration.js';
import type {SoakRoute} from './soakConfiguration.js';
import type {CallEnd, CallRecord} from './soakHistory.js';

/** Mean pause between the calls of one caller. */
const MEAN_PAUSE_MILLISECONDS = 70;

/** Delay before the next call when the node refused the connection. */
const RECONNECT_DELAY_MILLISECONDS = 100;

/** Time after the deadline of a call at which the caller aborts it. */
const ABORT_GRACE_MILLISECONDS = 8000;

/** A request to a node; `remaining` is its timeout in milliseconds. */
export interface SoakRequest {
  readonly path: string;
  readonly method: string;
  readonly requestId: string;
  readonly remaining: number;
  /** The key of a customer; none if absent. */
  readonly key?: string | undefined;
  /** Bytes of the answer taken per second; all at once if absent. */
  readonly bytesPerSecond?: number | undefined;
  /** How long the caller waits for the whole answer, in milliseconds. */
  readonly patienceMilliseconds?: number;
}

/** Sends one request to a node; never rejects. */
export function sendRequest(
  agent: Agent,
  address: string,
  call: SoakRequest,
): Promise<CallEnd> {
  const {path, method, requestId, remaining, key, bytesPerSecond} = call;
  const {patienceMilliseconds = remaining + ABORT_GRACE_MILLISECONDS} = call;
  return new Promise((resolve) => {
    let hadBegun = false;
    let wasConnected = false;
    const resolveBroken = (): void =>
      resolve(
        wasConnected ? {kind: 'broken', hadBegun} : {kind: 'not-connected'},
      );
    const request = httpRequest(
      {
        ...parseAddress(address),
        agent,
        path,
        method,
        headers: requestHeaders(SOAK_HOST, requestId, remaining, key),
        signal: AbortSignal.timeout(patienceMilliseconds),
      },
      (response) => {
        hadBegun = true;
        response.on('error', resolveBroken);
        void readAnswer(response, bytesPerSecond).then((end) =>
          resolve(end ?? interruptedAnswer()),
        );
      },
    );
    request.on('socket', (socket) => {
      wasConnected = !socket.connecting;
      if (socket.connecting) {
        socket.once('connect', () => (wasConnected = true));
      }
    });
    request.on('error', resolveBroken);
    request.end(method === 'POST' ? `body of ${requestId}` : undefined);
  });
}

/** Reads the complete answer; undefined when the connection broke. */
async function readAnswer(
  response: IncomingMessage,
  bytesPerSecond = Number.POSITIVE_INFINITY,
): Promise<CallEnd | undefined> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of response as AsyncIterable<Buffer>) {
      chunks.push(chunk);
      if (Number.isFinite(bytesPerSecond)) {
        await pause((1000 * chunk.length) / bytesPerSecond);
      }
    }
  } catch {
    // Only the connection can fail here; the call is recorded as broken.
    return undefined;
  }
  if (!response.complete) {
    return undefined;
  }
  const status = response.statusCode ?? 0;
  return {
    kind: 'answered',
    status,
    ...readAnswerClaims(status, response.headers),
    body: Buffer.concat(chunks).toString(),
  };
}

function interruptedAnswer(): CallEnd {
  return {kind: 'broken', hadBegun: true};
}

/** Options of a caller. */
export interface CallerOptions {
  readonly box: string;
  readonly address: string;
  readonly random: RandomSource;
  readonly nextId: () => string;
  readonly record: (call: CallRecord) => void;
  /** Appended to the ids of requests, which ask for answers of a size. */
  readonly idSuffix?: string;
  readonly key?: string;
  readonly bytesPerSecond?: number;
  /** Waits longer than the time limit for answers, which are read slowly. */
  readonly patienceMilliseconds?: number;
}

/** Sends calls one after another until the soak is over. */
export async function runCaller(
  options: CallerOptions,
  isOver: () => boolean,
): Promise<void> {
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  while (!isOver()) {
    const end = await callOnce(options, agent);
    const isUnreachable = end.kind === 'not-connected';
    await pause(
      isUnreachable
        ? RECONNECT_DELAY_MILLISECONDS
        : 2 * MEAN_PAUSE_MILLISECONDS * options.random(),
    );
  }
  agent.destroy();
}

async function callOnce(
  options: CallerOptions,
  agent: Agent,
): Promise<CallEnd> {
  const {box, address, random, nextId, record, idSuffix = ''} = options;
  const {key, bytesPerSecond, patienceMilliseconds} = options;
  const routes = soakRoutes();
  const route = routes[Math.floor(random() * routes.length)] as SoakRoute;
  const {service, isRepeatable, pathPrefix, timeoutMilliseconds} = route;
  const requestId = `${nextId()}${idSuffix}`;
  const sentAt = Date.now();
  const end = await sendRequest(agent, address, {
    path: `${pathPrefix}${requestId}`,
    method: isRepeatable ? 'GET' : 'POST',
    requestId,
    remaining: timeoutMilliseconds,
    key,
    bytesPerSecond,
    ...(patienceMilliseconds !== undefined && {patienceMilliseconds}),
  });
  record({
    requestId,
    box,
    service,
    isRepeatable,
    timeoutMilliseconds: patienceMilliseconds ?? timeoutMilliseconds,
    sentAt,
    endedAt: Date.now(),
    end,
  });
  return end;
}
