// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Answers that were given whole to their connections but are not sent yet. */

import type {ServerResponse} from 'node:http';

/** Counts the answers that would be cut if the process ended now. */
export class FinishingAnswers {
  private readonly responses = new Set<ServerResponse>();

  get callCount(): number {
    return this.responses.size;
  }

  /** Counts an answer that has ended until the system has taken all of it. */
  ended(response: ServerResponse): void {
    const {socket} = response;
    if (response.writableLength === 0 || socket === null) {
      return;
    }
    const onOver = (): void => {
      this.responses.delete(response);
      response.off('finish', onOver);
      socket.off('close', onOver);
    };
    this.responses.add(response);
    response.on('finish', onOver);
    socket.on('close', onOver);
  }
}
