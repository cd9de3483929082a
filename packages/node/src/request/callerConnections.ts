// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Ends connections of callers without losing requests that came behind others. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {closeAfterAnswer, isClosing} from '../connection/closingConnections.js';

/**
 * Knows which connections end after an answer. Requests may be pipelined: what
 * came behind such an answer is never answered, so that it must not run.
 */
export class CallerConnections {
  private readonly newest = new WeakMap<Socket, ServerResponse>();

  /** Counts a request; false if its connection ends before its answer. */
  received(request: IncomingMessage, response: ServerResponse): boolean {
    const {socket} = request;
    if (isClosing(request) || socket.destroyed) {
      return false;
    }
    this.newest.set(socket, response);
    return true;
  }

  /**
   * Ends a connection after an answer that has not begun, unless requests behind
   * it may run already.
   */
  endAfter({socket}: IncomingMessage, response: ServerResponse): void {
    if (this.newest.get(socket) === response) {
      response.shouldKeepAlive = false;
      closeAfterAnswer(socket);
    }
  }
}
