// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Connections of callers that close after an answer. Closed with bytes unread,
 * a connection is reset, and its client may lose the answer; so it is ended and
 * read until the client has closed it too.
 */

import type {Socket} from 'node:net';

/** What is read of a connection that is being closed. */
const CLOSING_BYTES = 16 * 1024 * 1024;

/** How long a connection that is being closed is read at most. */
const CLOSING_MILLISECONDS = 30_000;

/** The same for one on which nothing arrives. */
const CLOSING_IDLE_MILLISECONDS = 5000;

/** Interval at which these limits are checked. */
const CLOSING_CHECK_MILLISECONDS = 250;

const closing = new WeakSet<Socket>();

/**
 * Whether a connection closes after an answer; later requests on it are not
 * served, as they could not be answered.
 */
export function isClosing({socket}: {readonly socket: Socket}): boolean {
  return closing.has(socket);
}

/**
 * Lets a connection close after the answer that announces it. Node.js
 * calls `destroySoon` after such an answer.
 */
export function closeAfterAnswer(socket: Socket): void {
  closing.add(socket);
  socket.destroySoon = () => closeWhenRead(socket);
}

/** Ends a connection, and reads it until the client has closed it too. */
export function closeWhenRead(socket: Socket): void {
  closing.add(socket);
  if (socket.destroyed || socket.writableEnded) {
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
