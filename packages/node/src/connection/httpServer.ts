// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Starts HTTP servers. */

import {createServer} from 'node:http';
import type {Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {RefusalReason} from '@lockpin/types';
import {listenOn} from './addressListeners.js';
import {BoundedConnections} from './boundedConnections.js';
import {
  closeAfterAnswer,
  closeWhenRead,
  isClosing,
} from './closingConnections.js';
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

/** Answer on a connection that makes room for others. */
const CONNECTIONS_FULL = refusalText(
  '503 Service Unavailable',
  'connections-full',
  'retry-after: 1\r\n',
);

/** The latest response on each connection; answers are sent in order. */
type LatestResponses = WeakMap<Socket, ServerResponse>;

/** Options of a server; by default, its problems are not reported. */
export interface HttpServerOptions extends Partial<GuardedRequestsOptions> {
  /** Idle connections are closed beyond this many, then new ones; see BoundedConnections. */
  readonly maximumConnections?: number;
}

/**
 * Creates a server that does not listen yet. An accept that fails, as without a
 * free file descriptor, ends nothing.
 */
export function createHttpServer(
  handler: RequestHandler,
  {
    maximumConnections = Number.POSITIVE_INFINITY,
    onProblem = () => undefined,
    ...options
  }: HttpServerOptions = {},
): Server {
  const latest: LatestResponses = new WeakMap();
  const connections = new BoundedConnections({
    maximum: maximumConnections,
    refuse: refuseConnection,
    onFull: (closed) =>
      onProblem({kind: 'connections-full', detail: JSON.stringify(closed)}),
  });
  const serve = guardRequests(handler, {
    ...options,
    onProblem,
    onUsed: (socket) => connections.used(socket),
    onUnused: (socket) => connections.unused(socket),
  });
  const server = createServer(
    {
      maxHeaderSize: MAXIMUM_HEADERS_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      requestTimeout: 0,
      noDelay: true,
    },
    (request, response) => {
      latest.set(request.socket, response);
      serve(request, response);
    },
  );
  server.on('clientError', (error, socket: Duplex) =>
    answerBadRequest(error, socket as Socket, latest.get(socket as Socket)),
  );
  server.on('connection', (socket) => connections.opened(socket));
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

/**
 * Answers invalid HTTP with an error response and closes the connection. What
 * is invalid behind requests that are in progress only closes it, after their
 * answers.
 */
function answerBadRequest(
  error: NodeJS.ErrnoException,
  socket: Socket,
  latest: ServerResponse | undefined,
): void {
  if (error.code === 'ECONNRESET' || socket.destroyed) {
    socket.destroy();
  } else if (isClosing({socket})) {
    // What still arrives is only read until the client has closed.
    return;
  } else if (latest !== undefined && !latest.writableFinished) {
    closeBehind(socket, latest);
  } else {
    sendBadRequest(error, socket);
    closeWhenRead(socket);
  }
}

/** Closes a connection after its latest answer, which is not sent yet. */
function closeBehind(socket: Socket, latest: ServerResponse): void {
  if (!latest.req.complete) {
    // The invalid part is that of its body.
    socket.destroy();
  } else {
    latest.shouldKeepAlive = false;
    closeAfterAnswer(socket);
    latest.once('finish', () => socket.destroySoon());
  }
}

function sendBadRequest(error: NodeJS.ErrnoException, socket: Socket): void {
  const isTooLarge = error.code === 'HPE_HEADER_OVERFLOW';
  const status = isTooLarge
    ? '431 Request Header Fields Too Large'
    : '400 Bad Request';
  socket.write(refusalText(status, 'request-malformed'));
}

/** Refuses the request that a client may send on its new connection. */
function refuseConnection(socket: Socket): void {
  socket.write(CONNECTIONS_FULL);
  socket.destroySoon();
}

/**
 * An answer to a request that has not been read whole, and closes its connection.
 * Each further header has its line end.
 */
function refusalText(
  status: string,
  reason: RefusalReason,
  headers = '',
): string {
  const body = JSON.stringify({
    type: `urn:lockpin:refusal:${reason}`,
    title: reason.replaceAll('-', ' '),
    status: Number.parseInt(status, 10),
    reason,
    outcome: 'not-run',
  });
  return (
    `HTTP/1.1 ${status}\r\ncontent-type: application/problem+json\r\n` +
    `lockpin-outcome: not-run\r\nlockpin-reason: ${reason}\r\n${headers}` +
    `content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`
  );
}
