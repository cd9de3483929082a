// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * The rest of a request's body that nobody takes since the request has its
 * answer. It is read and dropped, so that the next request on the connection is
 * read; if that may take too long, the answer closes the connection.
 */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  closeAfterAnswer,
  closeWhenRead,
  isClosing,
} from '../connection/closingConnections.js';

/** A rest up to this size is dropped; its connection stays open. */
export const DROPPED_REST_BYTES = 1024 * 1024;

/** Time for such a rest to arrive once its answer is sent. */
export const DROPPED_REST_MILLISECONDS = 10_000;

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
    closeAfterAnswer(request.socket);
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
    timer = setTimeout(
      () => closeWhenRead(socket),
      DROPPED_REST_MILLISECONDS,
    ).unref();
  };
  response.once('finish', startTimer);
  request.once('close', () => {
    clearTimeout(timer);
    response.off('finish', startTimer);
  });
}
