// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Encoding of messages between nodes: MessagePack by msgpackr. */

import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {FLOAT32_OPTIONS, Packr} from 'msgpackr';

/** Names of fields that recur in a message are written once in it. */
const packr = new Packr({
  useRecords: true,
  useFloat32: FLOAT32_OPTIONS.DECIMAL_FIT,
});

/** Encodes a message; its bytes are its own. */
export function encode(message: unknown): Buffer {
  return Buffer.from(packr.pack(message));
}

/** Decodes a message that a node of this release encoded. */
export function decode<T>(bytes: Uint8Array): T {
  return packr.unpack(bytes) as T;
}

/** Messages from this size on are worth the time that compressing them takes. */
const LEAST_COMPRESSED_BYTES = 1024;

/** The first byte of a document says how the rest is to be read. */
const PLAIN = 0;
const DEFLATED = 1;

/** What documents that are sent to many came to. */
const encodedDocuments = new WeakMap<object, Buffer>();

/**
 * Encodes a message that may be a large document, such as a configuration, whose
 * routes differ little from each other. Bytes between data centres are paid for. The
 * same document is encoded once, however many nodes ask for it at a time.
 */
export function encodeDocument(message: object): Buffer {
  const known = encodedDocuments.get(message);
  if (known !== undefined) {
    return known;
  }
  const bytes = documentBytes(message);
  encodedDocuments.set(message, bytes);
  return bytes;
}

function documentBytes(message: object): Buffer {
  const plain = encode(message);
  return plain.length < LEAST_COMPRESSED_BYTES
    ? Buffer.concat([Buffer.from([PLAIN]), plain])
    : Buffer.concat([Buffer.from([DEFLATED]), deflateRawSync(plain)]);
}

/** Decodes a document that a node of this release encoded. */
export function decodeDocument<T>(bytes: Buffer): T {
  const rest = bytes.subarray(1);
  return decode(bytes[0] === DEFLATED ? inflateRawSync(rest) : rest);
}
