// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Binary encoding of the frames between an entry and a guard. */

import {decode, encode} from '../connection/codec.js';
import {
  answerFrom,
  answerRow,
  headFrom,
  headRow,
  refusalFrom,
  refusalRow,
  requestFrom,
  requestRow,
} from './frameRows.js';
import type {Frame} from './frameTypes.js';
import {newsFrom, newsRow} from './newsRows.js';

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
export function writeFrame(frame: Frame): Buffer {
  const kind = Buffer.from([KINDS.indexOf(frame.kind)]);
  switch (frame.kind) {
    case 'call':
      return Buffer.concat([kind, encode(headRow(frame.head))]);
    case 'answer':
      return Buffer.concat([kind, encode(answerRow(frame.head))]);
    case 'go':
      return Buffer.concat([kind, encode(requestRow(frame.request))]);
    case 'refusal':
      return Buffer.concat([kind, encode(refusalRow(frame.refusal))]);
    case 'chunk':
      return Buffer.concat([kind, frame.bytes]);
    case 'credit': {
      const credit = Buffer.alloc(CREDIT_BYTES);
      credit.writeUInt32BE(frame.bytes);
      return Buffer.concat([kind, credit]);
    }
    case 'news':
      return Buffer.concat([kind, encode(newsRow(frame.news))]);
    default:
      return kind;
  }
}

/** Decodes a frame. */
export function readFrame(bytes: Buffer): Frame {
  const kind = KINDS[bytes[0] ?? 0] ?? 'end';
  const rest = bytes.subarray(1);
  switch (kind) {
    case 'call':
      return {kind, head: headFrom(decode(rest))};
    case 'answer':
      return {kind, head: answerFrom(decode(rest))};
    case 'go':
      return {kind, request: requestFrom(decode(rest))};
    case 'refusal':
      return {kind, refusal: refusalFrom(decode(rest))};
    case 'chunk':
      return {kind, bytes: rest};
    case 'credit':
      return {kind, bytes: rest.readUInt32BE()};
    case 'news':
      return {kind, news: newsFrom(decode(rest))};
    default:
      return {kind};
  }
}
