// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Binary encoding of the frames between an entry and a guard. */

import {decode, encode} from '../connection/codec.js';
import {
  decodeAnswerHead,
  encodeAnswerHead,
  decodeCallHead,
  encodeCallHead,
  decodeRefusal,
  encodeRefusal,
  decodeCallRequest,
  encodeCallRequest,
} from './frameEncoding.js';
import {isValidFrame} from './frameChecks.js';
import type {Frame} from './frameTypes.js';
import {decodeNews, encodeNews} from './newsEncoding.js';

export type * from './frameTypes.js';

/** The first byte of a frame is the index of its kind in this list. */
const KINDS = [
  'call',
  'answer',
  'chunk',
  'end',
  'refusal',
  'continue',
  'cancel',
  'lost',
  'credit',
  'queued',
  'go',
  'news',
] as const;

/** Bytes of an unsigned 32-bit integer. */
const CREDIT_BYTES = 4;

/** Encodes a frame. */
export function encodeFrame(frame: Frame): Buffer {
  const kind = Buffer.from([KINDS.indexOf(frame.kind)]);
  switch (frame.kind) {
    case 'call':
      return Buffer.concat([kind, encode(encodeCallHead(frame.head))]);
    case 'answer':
      return Buffer.concat([kind, encode(encodeAnswerHead(frame.head))]);
    case 'go':
      return Buffer.concat([kind, encode(encodeCallRequest(frame.request))]);
    case 'refusal':
      return Buffer.concat([kind, encode(encodeRefusal(frame.refusal))]);
    case 'chunk':
      return Buffer.concat([kind, frame.bytes]);
    case 'credit': {
      const credit = Buffer.alloc(CREDIT_BYTES);
      credit.writeUInt32BE(frame.bytes);
      return Buffer.concat([kind, credit]);
    }
    case 'news':
      return Buffer.concat([kind, encode(encodeNews(frame.news))]);
    default:
      return kind;
  }
}

/** Decodes a frame; undefined if the bytes are none that this release knows. */
export function decodeFrame(bytes: Buffer): Frame | undefined {
  try {
    const frame = parseFrame(bytes);
    return frame !== undefined && isValidFrame(frame) ? frame : undefined;
  } catch {
    // The decoder has no state and no effects; any error is that of its input.
    return undefined;
  }
}

function parseFrame(bytes: Buffer): Frame | undefined {
  const kind = KINDS[bytes[0] ?? KINDS.length];
  if (kind === undefined) {
    return undefined;
  }
  const rest = bytes.subarray(1);
  switch (kind) {
    case 'call':
      return {kind, head: decodeCallHead(decode(rest))};
    case 'answer':
      return {kind, head: decodeAnswerHead(decode(rest))};
    case 'go':
      return {kind, request: decodeCallRequest(decode(rest))};
    case 'refusal':
      return {kind, refusal: decodeRefusal(decode(rest))};
    case 'chunk':
      return {kind, bytes: rest};
    case 'credit':
      return {kind, bytes: rest.readUInt32BE()};
    case 'news':
      return {kind, news: decodeNews(decode(rest))};
    default:
      return {kind};
  }
}
