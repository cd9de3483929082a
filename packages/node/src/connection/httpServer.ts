// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Starts HTTP servers. */

import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {Duplex} from 'node:stream';
import {listenOn} from './addressListeners.js';
import {guardRequests} from './guardedRequests.js';
import type {
  GuardedRequestsOptions,
  RequestHandler,
} from './guardedRequests.js';

export type {RequestHandler} from './guardedRequests.js';

const HEADERS_TIMEOUT_MILLISECONDS = 10_000;
const KEEP_ALIVE_MILLISECONDS = 60_000;
/**
 * Twice the limit that operators usually set, so that headers within it always
 * pass.
 */
const MAXIMUM_HEADERS_BYTES = 32 * 1024;

/** Time for the other end of invalid HTTP to read its answer and close. */
const LINGER_MILLISECONDS = 1000;

/** Options of a server; by default, its problems are not reported. */
export interface HttpServerOptions extends Partial<GuardedRequestsOptions> {
  /** Connections beyond this many are closed at once; by default, none is. */
  readonly maximumConnections?: number;
}

/**
 * Creates a server that does not listen yet. An accept that fails, as without a
 * free file descriptor, ends nothing.
 */
export function createHttpServer(
  handler: RequestHandler,
  {
    maximumConnections,
    onProblem = () => undefined,
    ...options
  }: HttpServerOptions = {},
): Server {
  const server = createServer(
    {
      maxHeaderSize: MAXIMUM_HEADERS_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      requestTimeout: 0,
      noDelay: true,
    },
    guardRequests(handler, {...options, onProblem}),
  );
  server.on('clientError', answerBadRequest);
  if (maximumConnections !== undefined) {
    server.maxConnections = maximumConnections;
  }
  server.on('error', (error) => {
    // While it does not listen yet, listenOn rejects with the error.
    if (server.listening) {
      onProblem({kind: 'accept-failed', detail: error.message});
    }
  });
  return server;
}

/** Listens on an address; rejects if the address is in use. */
export async function startHttpServer(
  address: string,
  handler: RequestHandler,
  options?: HttpServerOptions,
): Promise<Server> {
  const server = createHttpServer(handler, options);
  await listenOn(server, address);
  return server;
}

/** Answers invalid HTTP with an error response and closes the connection. */
function answerBadRequest(error: NodeJS.ErrnoException, socket: Duplex): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const isTooLarge = error.code === 'HPE_HEADER_OVERFLOW';
  const status = isTooLarge
    ? '431 Request Header Fields Too Large'
    : '400 Bad Request';
  const body = JSON.stringify({
    type: 'urn:lockpin:refusal:request-malformed',
    title: 'request malformed',
    status: isTooLarge ? 431 : 400,
    reason: 'request-malformed',
    outcome: 'not-run',
  });
  socket.end(
    `HTTP/1.1 ${status}\r\ncontent-type: application/problem+json\r\n` +
      `lockpin-outcome: not-run\r\nlockpin-reason: request-malformed\r\n` +
      `content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`,
  );
  // The other end may never close its side.
  const linger = setTimeout(() => socket.destroy(), LINGER_MILLISECONDS);
  socket.once('close', () => clearTimeout(linger));
}
