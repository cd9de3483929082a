// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Connects sockets for undici's pools and clients. */

import type {Socket} from 'node:net';

/** What a connection is made to, and when that is given up. */
export interface ConnectTarget {
  readonly host: string;
  readonly port: number;
  readonly timeoutMilliseconds: number;
}

/** Connects a socket; calls back once, with an error if that failed. */
export function connectSocket(
  socket: Socket,
  {host, port, timeoutMilliseconds}: ConnectTarget,
  done: (error: Error | undefined) => void,
): void {
  const timer = setTimeout(
    () => socket.destroy(new Error('connection attempt timed out')),
    timeoutMilliseconds,
  );
  const failed = (error: Error): void => {
    clearTimeout(timer);
    done(error);
  };
  socket.once('error', failed);
  socket.once('connect', () => {
    clearTimeout(timer);
    socket.off('error', failed);
    done(undefined);
  });
  socket.connect({host, port});
}
