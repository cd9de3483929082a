// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Answers whose ends only the ends of their connections show. */

import type {ServerResponse} from 'node:http';

/**
 * The unfinished answers of a process to callers of HTTP/1.0. When the process
 * exits, the system ends their connections in order, as at the end of a
 * complete answer, unless they are reset before.
 */
export class CloseDelimitedAnswers {
  private readonly responses = new Set<ServerResponse>();

  /** Adds an answer, until its connection has closed. */
  add(response: ServerResponse): void {
    this.responses.add(response);
    response.once('close', () => this.responses.delete(response));
  }

  /** Resets the connections of all answers that have not been sent whole. */
  reset(): void {
    for (const {socket} of this.responses) {
      socket?.resetAndDestroy();
      // A reset waits for unsent bytes unless the socket is destroyed.
      socket?.destroy();
    }
    this.responses.clear();
  }
}
