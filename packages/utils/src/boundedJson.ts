// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Parses JSON that comes from outside: an empty table takes three bytes of text
 * and twenty times as many in memory.
 */

/**
 * Signs that begin or separate values. A configuration of 256 KB, the largest
 * document that a store takes, has a fraction of them.
 */
const MAXIMUM_SIGNS = 200_000;

const LIST = '['.charCodeAt(0);
const TABLE = '{'.charCodeAt(0);
const COMMA = ','.charCodeAt(0);

/**
 * Parses a document.
 * @throws SyntaxError if it is no JSON, RangeError if it has too many values.
 */
export function parseBoundedJson(bytes: Buffer): unknown {
  if (bytes.length > MAXIMUM_SIGNS && countSigns(bytes) > MAXIMUM_SIGNS) {
    throw new RangeError('a document with too many values');
  }
  return JSON.parse(bytes.toString('utf8'));
}

function countSigns(bytes: Buffer): number {
  let count = 0;
  for (let i = 0; i < bytes.length; i += 1) {
    const byte = bytes[i];
    count += byte === COMMA || byte === TABLE || byte === LIST ? 1 : 0;
  }
  return count;
}
