// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How much of a caller's body is read before its call is offered. */

import type {IncomingMessage} from 'node:http';
import {HELD_BODY_BYTES, ONCE_BODY_BYTES} from './callerExchange.js';
import type {CallerRequest} from './callerRequest.js';
import {readBody} from './readBody.js';

/** The body of a request that has none. */
const EMPTY = Buffer.alloc(0);

/** The whole body, or undefined when it is to be streamed. */
export async function readBodyFor(
  request: IncomingMessage,
  call: CallerRequest,
  largestBodyBytes: number,
): Promise<Buffer | undefined | 'too-large' | 'cut'> {
  const length = Number(request.headers['content-length'] ?? Number.NaN);
  if (length > largestBodyBytes) {
    return 'too-large';
  }
  if (call.onceKey !== undefined) {
    return readBody(request, ONCE_BODY_BYTES);
  }
  const hasNoBody =
    Number.isNaN(length) && !('transfer-encoding' in request.headers);
  if (hasNoBody) {
    return EMPTY;
  }
  return length <= HELD_BODY_BYTES
    ? readBody(request, HELD_BODY_BYTES)
    : undefined;
}
