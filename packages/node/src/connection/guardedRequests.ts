// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Keeps what goes wrong with one connection of a server to that connection. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/**
 * Requests of one connection that may wait for their answers: Node.js reads on
 * while the answers are not written. Callers send a few before the first is
 * answered.
 */
export const MAXIMUM_WAITING_REQUESTS = 128;

/** Handles an HTTP request. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void | Promise<void>;

/** What went wrong at a server; it serves its other connections. */
export type ServerProblem =
  /** No connection could be accepted, e.g. for want of file descriptors. */
  | {readonly kind: 'accept-failed'; readonly detail: string}
  /** An internal error; the connection of its request was closed. */
  | {readonly kind: 'handler-failed'; readonly detail: string}
  /** A connection was closed: more requests wait on it than may. */
  | {readonly kind: 'requests-without-end'; readonly detail: string}
  /** Connections were closed: more are open than may be. */
  | {readonly kind: 'connections-full'; readonly detail: string};

/** Called with each problem. */
export type OnServerProblem = (problem: ServerProblem) => void;

/** Options of the requests of a server. */
export interface GuardedRequestsOptions {
  readonly onProblem: OnServerProblem;
  /** Requests of a connection that may wait; see MAXIMUM_WAITING_REQUESTS. */
  readonly maximumWaiting?: number;
  /** A request with a body closes its connection, as nothing reads the body. */
  readonly readsBodies?: boolean;
  /** Called when the first request of an idle connection arrives. */
  readonly onUsed?: (socket: Socket) => void;
  /** Called when all requests of a connection have their answers. */
  readonly onUnused?: (socket: Socket) => void;
}

/** Wraps a handler so that its errors end only the connection of the request. */
export function guardRequests(
  handler: RequestHandler,
  {
    onProblem,
    maximumWaiting = MAXIMUM_WAITING_REQUESTS,
    readsBodies = true,
    onUsed,
    onUnused,
  }: GuardedRequestsOptions,
): (request: IncomingMessage, response: ServerResponse) => void {
  const waiting = new WeakMap<Socket, number>();
  return (request, response) => {
    const {socket} = request;
    if (socket.destroyed) {
      // The rest of what had been read when the connection was closed.
      return;
    }
    const count = waiting.get(socket) ?? 0;
    if (count >= maximumWaiting) {
      const detail = remoteAddressOf(socket);
      onProblem({kind: 'requests-without-end', detail});
      socket.destroy();
      return;
    }
    waiting.set(socket, count + 1);
    if (count === 0) {
      onUsed?.(socket);
    }
    response.once('close', () => {
      const left = (waiting.get(socket) ?? 1) - 1;
      waiting.set(socket, left);
      if (left === 0) {
        onUnused?.(socket);
      }
    });
    if (!readsBodies && hasBody(request)) {
      response.shouldKeepAlive = false;
    }
    const fail = (error: unknown): void => {
      const detail = String((error as Error | undefined)?.stack ?? error);
      onProblem({kind: 'handler-failed', detail});
      socket.destroy();
    };
    try {
      handler(request, response)?.catch(fail);
    } catch (error) {
      fail(error);
    }
  };
}

/** The other end of a connection, for the log. */
export function remoteAddressOf(socket: Socket): string {
  return `${socket.remoteAddress}:${socket.remotePort}`;
}

function hasBody({headers}: IncomingMessage): boolean {
  return (
    'transfer-encoding' in headers || Number(headers['content-length'] ?? 0) > 0
  );
}
