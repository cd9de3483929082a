// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Connections of undici that end when an answer does not. */

import {Socket} from 'node:net';
import type {buildConnector} from 'undici';
import {connectSocket} from './connectSocket.js';

/** A server that accepts no connection in this time is not reachable. */
const CONNECT_TIMEOUT_MILLISECONDS = 10_000;

/**
 * A connection on which a request and its answer take turns. It ends with an
 * error as soon as an answer is longer than it may be, wherever its bytes stand:
 * undici bounds the fields of an answer's head and its body, but neither the
 * reason of its status, nor informational answers, nor what frames a chunk.
 */
export class BoundedSocket extends Socket {
  private answerStart = 0;
  private readBefore = 0;
  private writtenBefore = 0;

  constructor(private readonly maximumAnswerBytes: number) {
    super();
    this.setNoDelay();
  }

  override read(size?: number): unknown {
    if (this.bytesWritten !== this.writtenBefore) {
      // A request was sent since the last part of an answer.
      this.writtenBefore = this.bytesWritten;
      this.answerStart = this.readBefore;
    }
    this.readBefore = this.bytesRead;
    if (this.bytesRead - this.answerStart <= this.maximumAnswerBytes) {
      return super.read(size);
    }
    if (!this.destroyed) {
      const limit = `${this.maximumAnswerBytes} bytes`;
      this.destroy(new Error(`an answer is longer than ${limit}`));
    }
    return null;
  }
}

/** Connects with bounded sockets; an option of undici's pools and clients. */
export function boundedConnector(
  maximumAnswerBytes: number,
): buildConnector.connector {
  return ({hostname, port}, done) => {
    const socket = new BoundedSocket(maximumAnswerBytes);
    const target = {
      host: hostname,
      port: Number(port),
      timeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
    };
    connectSocket(socket, target, (error) => {
      if (error === undefined) {
        done(null, socket);
      } else {
        done(error, null);
      }
    });
  };
}
