// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Hash functions based on node:crypto, for digests and deterministic choices.
 */

import {createHash, timingSafeEqual} from 'node:crypto';

/** Exclusive upper bound of stable hashes. */
export const STABLE_HASH_RANGE = 2 ** 48;

/** Returns a 48-bit integer that depends on the text alone. */
export function stableHash(text: string): number {
  return createHash('sha1').update(text).digest().readUIntBE(0, 6);
}

/** Returns the SHA-256 of text or bytes in hexadecimal. */
export function sha256Hex(content: string | Uint8Array): string {
  return createHash('sha256').update(content).digest('hex');
}

/**
 * Returns the first bytes of the SHA-256 of lines followed by content, in
 * base64url.
 */
export function shortDigest(
  lines: readonly string[],
  content: Uint8Array,
  bytes: number,
): string {
  const hash = createHash('sha256');
  hash.update(`${lines.join('\n')}\n`).update(content);
  return hash.digest().toString('base64url', 0, bytes);
}

/** Returns the salted hash under which a secret is stored. */
export function saltedHash(salt: string, secret: string): string {
  return sha256Hex(`${salt}:${secret}`);
}

/** Compares two texts in constant time, regardless of where they differ. */
export function equalInConstantTime(left: string, right: string): boolean {
  const leftHash = createHash('sha256').update(left).digest();
  const rightHash = createHash('sha256').update(right).digest();
  return timingSafeEqual(leftHash, rightHash);
}
