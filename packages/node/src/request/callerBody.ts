// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Reads as much of a caller's body as is needed before the call is offered. */

import type {IncomingMessage} from 'node:http';
import {BODY_BUFFER_LIMIT_BYTES, ONCE_BODY_LIMIT_BYTES} from './bodyLimits.js';
import type {CallerRequest} from './callerRequest.js';
import type {HeldBodies} from './heldBodies.js';
import {peekBody} from './peekBody.js';
import {readBody} from './readBody.js';

/** Bytes of a long body that distinguish it from others of its length. */
const BEGINNING_BYTES = 8 * 1024;

/**
 * How long to wait for the first bytes of a body. A caller that is sending
 * delivers them in this time; a stalled caller is not waited for.
 */
const PEEK_MILLISECONDS = 200;

/** The body of a request without one. */
const EMPTY = Buffer.alloc(0);

/** A request body, as far as it was read. */
export type CallerBody =
  | {readonly kind: 'held'; readonly bytes: Buffer}
  /** Passed on as it arrives; no beginning when that did not arrive in time. */
  | {readonly kind: 'streamed'; readonly beginning: Buffer | undefined}
  | {readonly kind: 'too-large'}
  /** Others need the memory for it, and it arrives the most slowly. */
  | {readonly kind: 'slow'}
  | {readonly kind: 'cut'};

/** Reads the whole body when it is short enough to be buffered. */
export async function readBodyFor(
  request: IncomingMessage,
  call: CallerRequest,
  largestBodyBytes: number,
  bodies: HeldBodies,
): Promise<CallerBody> {
  const length = Number(request.headers['content-length'] ?? Number.NaN);
  if (length > largestBodyBytes) {
    return {kind: 'too-large'};
  }
  if (call.onceKey !== undefined) {
    return held(await readBody(request, ONCE_BODY_LIMIT_BYTES, bodies));
  }
  if ('transfer-encoding' in request.headers) {
    return peeked(request, BODY_BUFFER_LIMIT_BYTES + 1);
  }
  if (Number.isNaN(length)) {
    return {kind: 'held', bytes: EMPTY};
  }
  return length <= BODY_BUFFER_LIMIT_BYTES
    ? held(await readBody(request, BODY_BUFFER_LIMIT_BYTES, bodies))
    : peeked(request, BEGINNING_BYTES);
}

function held(read: Buffer | 'too-large' | 'cut' | 'slow'): CallerBody {
  return typeof read === 'string' ? {kind: read} : {kind: 'held', bytes: read};
}

/**
 * A chunked body that turns out short is buffered, so that it can be retried.
 */
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
