// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How much of a caller's body is read before its call is offered. */

import type {IncomingMessage} from 'node:http';
import {HELD_BODY_BYTES, ONCE_BODY_BYTES} from './bodyLimits.js';
import type {CallerRequest} from './callerRequest.js';
import {peekBody} from './peekBody.js';
import {readBody} from './readBody.js';

/** Enough of a long body to tell it from others of its length. */
const BEGINNING_BYTES = 8 * 1024;

/** What a caller that sends at all has sent by then; one that stalls is not waited for. */
const PEEK_MILLISECONDS = 200;

/** The body of a request that has none. */
const EMPTY = Buffer.alloc(0);

/** A body, as far as it was read. */
export type CallerBody =
  | {readonly kind: 'held'; readonly bytes: Buffer}
  /** It flows as it comes; its beginning is undefined where it came too late. */
  | {readonly kind: 'streamed'; readonly beginning: Buffer | undefined}
  | {readonly kind: 'too-large'}
  | {readonly kind: 'cut'};

/** The whole body where it is short enough to be held. */
export async function readBodyFor(
  request: IncomingMessage,
  call: CallerRequest,
  largestBodyBytes: number,
): Promise<CallerBody> {
  const length = Number(request.headers['content-length'] ?? Number.NaN);
  if (length > largestBodyBytes) {
    return {kind: 'too-large'};
  }
  if (call.onceKey !== undefined) {
    return held(await readBody(request, ONCE_BODY_BYTES));
  }
  if ('transfer-encoding' in request.headers) {
    return peeked(request, HELD_BODY_BYTES + 1);
  }
  if (Number.isNaN(length)) {
    return {kind: 'held', bytes: EMPTY};
  }
  return length <= HELD_BODY_BYTES
    ? held(await readBody(request, HELD_BODY_BYTES))
    : peeked(request, BEGINNING_BYTES);
}

function held(read: Buffer | 'too-large' | 'cut'): CallerBody {
  return typeof read === 'string' ? {kind: read} : {kind: 'held', bytes: read};
}

/** A body in pieces is held where it turns out to be short: it can be sent again then. */
async function peeked(
  request: IncomingMessage,
  bytesWanted: number,
): Promise<CallerBody> {
  const peek = await peekBody(request, bytesWanted, PEEK_MILLISECONDS);
  switch (peek.kind) {
    case 'whole':
      return {kind: 'held', bytes: peek.bytes};
    case 'cut':
      return peek;
    case 'beginning':
      return {
        kind: 'streamed',
        beginning:
          peek.bytes.length < BEGINNING_BYTES
            ? undefined
            : peek.bytes.subarray(0, BEGINNING_BYTES),
      };
  }
}
