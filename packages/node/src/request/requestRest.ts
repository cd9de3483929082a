// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * The rest of a request's body that nobody takes since the request has its
 * answer. It is read and dropped, so that the next request on the connection is
 * read; if that may take too long, the answer closes the connection.
 */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** A rest up to this size is dropped; its connection stays open. */
export const DROPPED_REST_BYTES = 1024 * 1024;

/** Time for such a rest to arrive once its answer is sent. */
export const DROPPED_REST_MILLISECONDS = 10_000;

/** What is read of a connection that is being closed. */
const CLOSING_BYTES = 16 * 1024 * 1024;

/** How long a connection that is being closed is read at most. */
const CLOSING_MILLISECONDS = 30_000;

/** The same for one on which nothing arrives. */
const CLOSING_IDLE_MILLISECONDS = 5000;

/** Interval at which these limits are checked. */
const CLOSING_CHECK_MILLISECONDS = 250;

/** Connections whose answers have told their clients that they close. */
const closing = new WeakSet<Socket>();

/**
 * Whether a connection closes after an answer; later requests on it are not
 * served, as they could not be answered.
 */
export function isClosing({socket}: Pick<IncomingMessage, 'socket'>): boolean {
  return closing.has(socket);
}

/** Bytes of a body that are still to come; infinite if that is not known. */
export function bytesToCome(
  request: Pick<IncomingMessage, 'complete' | 'headers' | 'readableLength'>,
  takenBytes: number,
): number {
  const {complete, headers, readableLength} = request;
  if (complete) {
    return 0;
  }
  if ('transfer-encoding' in headers) {
    return Number.POSITIVE_INFINITY;
  }
  const length = Number(headers['content-length'] ?? 0);
  return Math.max(0, length - takenBytes - readableLength);
}

/**
 * To be called before the head of an answer is written to a request whose body
 * may not be in: decides whether the answer closes the connection.
 */
export function prepareAnswer(
  request: IncomingMessage,
  response: ServerResponse,
  takenBytes = 0,
): void {
  const bytes = bytesToCome(request, takenBytes);
  if (bytes > DROPPED_REST_BYTES) {
    response.shouldKeepAlive = false;
  }
  if (bytes > 0 && !response.shouldKeepAlive) {
    const {socket} = request;
    closing.add(socket);
    // Node.js calls this after the answer. Closed with bytes unread, the
    // connection would be reset, and the client might lose the answer.
    socket.destroySoon = () => closeWhenRead(socket);
  }
}

/** Reads and drops the rest of a body whose request has its whole answer. */
export function dropRest(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  request.resume();
  if (bytesToCome(request, 0) === 0 || isClosing(request)) {
    return;
  }
  const {socket} = request;
  let timer: NodeJS.Timeout | undefined;
  const startTimer = (): void => {
    timer = setTimeout(() => {
      closing.add(socket);
      closeWhenRead(socket);
    }, DROPPED_REST_MILLISECONDS).unref();
  };
  response.once('finish', startTimer);
  request.once('close', () => {
    clearTimeout(timer);
    response.off('finish', startTimer);
  });
}

/** Ends a connection, and reads it until the client has closed it too. */
function closeWhenRead(socket: Socket): void {
  if (socket.destroyed) {
    return;
  }
  socket.end();
  const {bytesRead: before} = socket;
  let latest = before;
  let idle = 0;
  let elapsed = 0;
  const timer = setInterval(() => {
    const {bytesRead} = socket;
    elapsed += CLOSING_CHECK_MILLISECONDS;
    idle = bytesRead === latest ? idle + CLOSING_CHECK_MILLISECONDS : 0;
    latest = bytesRead;
    if (
      elapsed >= CLOSING_MILLISECONDS ||
      idle >= CLOSING_IDLE_MILLISECONDS ||
      bytesRead - before > CLOSING_BYTES
    ) {
      socket.destroy();
    }
  }, CLOSING_CHECK_MILLISECONDS).unref();
  socket.once('close', () => clearInterval(timer));
}
