// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Encoding of messages between nodes: MessagePack with msgpackr. */

import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {FLOAT32_OPTIONS, Packr} from 'msgpackr';
import {hasBoundedValues} from './messageValues.js';

/** Field names that recur in a message are encoded once. */
const packr = new Packr({
  useRecords: true,
  useFloat32: FLOAT32_OPTIONS.DECIMAL_FIT,
});

/** Encodes a message into a buffer that is not shared with other messages. */
export function encode(message: unknown): Buffer {
  return Buffer.from(packr.pack(message));
}

/**
 * Decodes a message encoded by a node of the same release.
 * @throws If the bytes are none, or would take too much memory.
 */
export function decode<T>(bytes: Uint8Array): T {
  if (!hasBoundedValues(bytes)) {
    throw new RangeError('a message with too many values');
  }
  return packr.unpack(bytes) as T;
}

/** Smaller messages are not worth the processor time of compression. */
const MINIMUM_COMPRESSED_BYTES = 1024;

/**
 * A larger document is none: a few bytes can be inflated to gigabytes. A
 * configuration and the records of a thousand boxes take less than a megabyte.
 */
const MAXIMUM_DOCUMENT_BYTES = 16 * 1024 * 1024;

/** The first byte of a document gives the encoding of the rest. */
const PLAIN = 0;
const DEFLATED = 1;

/** Encoded forms of documents that are sent to many nodes. */
const encodedDocuments = new WeakMap<object, Buffer>();

/**
 * Encodes a message that may be large, such as a configuration, and compresses
 * it: the routes of a configuration differ little from each other, and traffic
 * between data centres is paid for. The encoded form is cached, so that each
 * document is encoded once, regardless of how many nodes request it.
 */
export function encodeDocument(message: object): Buffer {
  const cached = encodedDocuments.get(message);
  if (cached !== undefined) {
    return cached;
  }
  const bytes = compress(message);
  encodedDocuments.set(message, bytes);
  return bytes;
}

function compress(message: object): Buffer {
  const plain = encode(message);
  return plain.length < MINIMUM_COMPRESSED_BYTES
    ? Buffer.concat([Buffer.from([PLAIN]), plain])
    : Buffer.concat([Buffer.from([DEFLATED]), deflateRawSync(plain)]);
}

/** Decodes a document; undefined if the bytes are none. */
export function tryDecodeDocument<T extends object>(
  bytes: Buffer,
): T | undefined {
  try {
    const rest = bytes.subarray(1);
    const limit = {maxOutputLength: MAXIMUM_DOCUMENT_BYTES};
    const plain = bytes[0] === DEFLATED ? inflateRawSync(rest, limit) : rest;
    const document = decode<unknown>(plain);
    return typeof document === 'object' && document !== null
      ? (document as T)
      : undefined;
  } catch {
    // Nothing here has state or effects; any error is that of the bytes.
    return undefined;
  }
}
