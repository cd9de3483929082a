// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A caller on a box: keeps its connection as long as the node does. */

import {Agent, request as httpRequest} from 'node:http';
import type {IncomingMessage} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {answerClaims, requestHeaders} from '@lockpin/platform-stand-ins';
import type {RandomSource} from '@lockpin/types';
import {parseAddress} from '@lockpin/utils';
import {SOAK_HOST, soakRoutes} from './soakConfiguration.js';
import type {SoakRoute} from './soakConfiguration.js';
import type {CallEnd, CallFact} from './soakFacts.js';

/** Mean time between the calls of one caller. */
const MEAN_PAUSE_MILLISECONDS = 70;

/** A node that took no connection is asked again after this. */
const RECONNECT_MILLISECONDS = 100;

/** A caller gives a node up this long after the time of its call is over. */
const PATIENCE_MILLISECONDS = 8000;

/** What a request is. */
export interface SoakRequest {
  readonly path: string;
  readonly method: string;
  readonly requestId: string;
  readonly remaining: number;
}

/** Sends one request to a node; never fails. */
export function sendRequest(
  agent: Agent,
  address: string,
  {path, method, requestId, remaining}: SoakRequest,
): Promise<CallEnd> {
  return new Promise((resolve) => {
    let hadBegun = false;
    let wasConnected = false;
    const isBroken = (): void =>
      resolve(
        wasConnected ? {kind: 'broken', hadBegun} : {kind: 'not-connected'},
      );
    const request = httpRequest(
      {
        ...parseAddress(address),
        agent,
        path,
        method,
        headers: requestHeaders(SOAK_HOST, requestId, remaining),
        signal: AbortSignal.timeout(remaining + PATIENCE_MILLISECONDS),
      },
      (response) => {
        hadBegun = true;
        response.on('error', isBroken);
        void readAnswer(response).then((end) => resolve(end ?? brokenOff()));
      },
    );
    request.on('socket', (socket) => {
      wasConnected = !socket.connecting;
      if (socket.connecting) {
        socket.once('connect', () => (wasConnected = true));
      }
    });
    request.on('error', isBroken);
    request.end(method === 'POST' ? `body of ${requestId}` : undefined);
  });
}

/** The whole answer; undefined when it broke off. */
async function readAnswer(
  response: IncomingMessage,
): Promise<CallEnd | undefined> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of response as AsyncIterable<Buffer>) {
      chunks.push(chunk);
    }
  } catch {
    // Any failure here is the connection's; the caller records it as broken.
    return undefined;
  }
  if (!response.complete) {
    return undefined;
  }
  const status = response.statusCode ?? 0;
  return {
    kind: 'answered',
    status,
    ...answerClaims(status, response.headers),
    body: Buffer.concat(chunks).toString(),
  };
}

function brokenOff(): CallEnd {
  return {kind: 'broken', hadBegun: true};
}

/** Where a caller is, and who is told of its calls. */
export interface CallerPlace {
  readonly box: string;
  readonly address: string;
  readonly random: RandomSource;
  readonly nextId: () => string;
  readonly record: (call: CallFact) => void;
}

/** Calls again and again until it is told to stop. */
export async function keepCalling(
  place: CallerPlace,
  isOver: () => boolean,
): Promise<void> {
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  while (!isOver()) {
    const end = await callOnce(place, agent);
    const isAway = end.kind === 'not-connected';
    await pause(
      isAway
        ? RECONNECT_MILLISECONDS
        : 2 * MEAN_PAUSE_MILLISECONDS * place.random(),
    );
  }
  agent.destroy();
}

async function callOnce(place: CallerPlace, agent: Agent): Promise<CallEnd> {
  const {box, address, random, nextId, record} = place;
  const routes = soakRoutes();
  const route = routes[Math.floor(random() * routes.length)] as SoakRoute;
  const {service, isRepeatable, pathPrefix, timeoutMilliseconds} = route;
  const requestId = nextId();
  const sentAt = Date.now();
  const end = await sendRequest(agent, address, {
    path: `${pathPrefix}${requestId}`,
    method: isRepeatable ? 'GET' : 'POST',
    requestId,
    remaining: timeoutMilliseconds,
  });
  record({
    requestId,
    box,
    service,
    isRepeatable,
    timeoutMilliseconds,
    sentAt,
    endedAt: Date.now(),
    end,
  });
  return end;
}
