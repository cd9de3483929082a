// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Hashes by node's own crypto, for digests and stable choices. */

import {createHash, timingSafeEqual} from 'node:crypto';

/** Stable hashes are whole numbers below this. */
export const STABLE_HASH_RANGE = 2 ** 48;

/** A 48-bit number that depends on the text alone. */
export function stableHash(text: string): number {
  return createHash('sha1').update(text).digest().readUIntBE(0, 6);
}

/** SHA-256 of text or bytes, in hexadecimal. */
export function sha256Hex(content: string | Uint8Array): string {
  return createHash('sha256').update(content).digest('hex');
}

/** The first bytes of the SHA-256 of a few lines and what follows them, in base64url. */
export function shortDigest(
  lines: readonly string[],
  content: Uint8Array,
  bytes: number,
): string {
  const hash = createHash('sha256');
  hash.update(`${lines.join('\n')}\n`).update(content);
  return hash.digest().toString('base64url', 0, bytes);
}

/** The hash under which a secret is kept. */
export function saltedHash(salt: string, secret: string): string {
  return sha256Hex(`${salt}:${secret}`);
}

/** Compares two texts in a time that does not depend on where they differ. */
export function equalInConstantTime(left: string, right: string): boolean {
  const leftHash = createHash('sha256').update(left).digest();
  const rightHash = createHash('sha256').update(right).digest();
  return timingSafeEqual(leftHash, rightHash);
}
