// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Distinguishes connections that were reset from those that ended in order. */

import {Socket} from 'node:net';

const NO_BYTES = Buffer.alloc(0);

/** Set on a connection that was reset after the other end had ended it. */
const RESET_AFTER_END = 'EPIPE';

/**
 * Whether a connection was reset, to be called when it ends. If bytes and a reset
 * are both pending as libuv reads, it reports an end and no error; a write then
 * fails, even of no bytes. Unsent bytes delay that write, so that the connection
 * counts as reset.
 */
export function wasReset(socket: Socket): boolean {
  if (socket.writableLength > 0) {
    return true;
  }
  // At the end, a socket that is not half-open replaces its own write.
  Socket.prototype.write.call(socket, NO_BYTES);
  const {errored} = socket as {readonly errored?: NodeJS.ErrnoException | null};
  return (errored ?? null) !== null && errored?.code !== RESET_AFTER_END;
}
