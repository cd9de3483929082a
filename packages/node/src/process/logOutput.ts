// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Writes to a file descriptor such that no write outlives the process. */

import {fstatSync, write} from 'node:fs';
import {Socket} from 'node:net';

/** Writes all bytes, and calls back once they are written or cannot be. */
export type Output = (
  bytes: Buffer,
  done: (error: Error | null) => void,
) => void;

/**
 * A write to a pipe without a reader's attention lasts until the pipe has room.
 * In the thread pool it would block its thread, for which the runtime waits when
 * the process exits: the process would never end.
 */
export function createOutput(fileDescriptor: number): Output {
  try {
    const stats = fstatSync(fileDescriptor);
    if (stats.isFIFO() || stats.isSocket()) {
      return pipeOutput(fileDescriptor);
    }
  } catch {
    // Not a pipe that the event loop can wait for; a write reports the rest.
  }
  return fileOutput(fileDescriptor);
}

/**
 * Waits for room in the event loop, which takes one stream for a descriptor: that
 * of the process where it has one.
 */
function pipeOutput(fd: number): Output {
  const socket =
    fd === process.stdout.fd
      ? process.stdout
      : new Socket({fd, readable: false, writable: true}).unref();
  if (!socket.listeners('error').includes(ignoreError)) {
    socket.on('error', ignoreError);
  }
  return (bytes, done) => socket.write(bytes, (error) => done(error ?? null));
}

/** Each write is called back with its error, too. */
function ignoreError(): void {
  return undefined;
}

/** Writes in the thread pool, as files can be slow, but always take bytes. */
function fileOutput(fd: number): Output {
  const writeAll: Output = (bytes, done) =>
    write(fd, bytes, (error, count) => {
      if (error === null && count < bytes.length) {
        writeAll(bytes.subarray(count), done);
      } else {
        done(error);
      }
    });
  return writeAll;
}
