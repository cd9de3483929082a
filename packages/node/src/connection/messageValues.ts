// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Bounds the memory that a MessagePack message takes once it is decoded: an empty
 * table takes a byte in a message and two hundred in memory, and the five bytes
 * that begin a list make room for as many values as they name.
 */

/**
 * Values in a message; the largest, a configuration with the records of a
 * thousand boxes, has a fraction of them.
 */
export const MAXIMUM_VALUES = 200_000;

const FIRST_MAP = 0x80;
const FIRST_LIST = 0x90;
const FIRST_TEXT = 0xa0;
const FIRST_LONG = 0xc0;
const LENGTH_MASK = 0x1f;
const COUNT_MASK = 0x0f;

/** Bytes that follow the first byte of a value, if that alone determines them. */
const FOLLOWING_BYTES: Readonly<Record<number, number>> = {
  0xca: 4,
  0xcb: 8,
  0xcc: 1,
  0xcd: 2,
  0xce: 4,
  0xcf: 8,
  0xd0: 1,
  0xd1: 2,
  0xd2: 4,
  0xd3: 8,
  0xd4: 2,
  0xd5: 3,
  0xd6: 5,
  0xd7: 9,
  0xd8: 17,
};

/** Size of the length of texts, bytes and extensions, by their first byte. */
const LENGTH_BYTES: Readonly<Record<number, number>> = {
  0xc4: 1,
  0xc5: 2,
  0xc6: 4,
  0xc7: 1,
  0xc8: 2,
  0xc9: 4,
  0xd9: 1,
  0xda: 2,
  0xdb: 4,
};

/** Extensions have a byte with their type before their content. */
const TYPE_BYTES: Readonly<Record<number, number>> = {
  0xc7: 1,
  0xc8: 1,
  0xc9: 1,
};

/** Size of the count of lists and tables, by their first byte. */
const COUNT_BYTES: Readonly<Record<number, number>> = {
  0xdc: 2,
  0xdd: 4,
  0xde: 2,
  0xdf: 4,
};

/** Marks the first bytes of values whose size the next bytes state. */
const HAS_HEADER = 0xff;

/** Size of a value by its first byte; that of a list or table is one byte. */
const SIZES = Uint8Array.from({length: 256}, (_, first) => {
  if (first >= FIRST_TEXT && first < FIRST_LONG) {
    return 1 + (first & LENGTH_MASK);
  }
  const hasHeader = first in LENGTH_BYTES || first in COUNT_BYTES;
  return hasHeader ? HAS_HEADER : 1 + (FOLLOWING_BYTES[first] ?? 0);
});

/** Values that a list or table of a few announces, by its first byte. */
const ANNOUNCED = Uint8Array.from({length: 256}, (_, first) => {
  if (first < FIRST_MAP || first >= FIRST_TEXT) {
    return 0;
  }
  return (first & COUNT_MASK) * (first < FIRST_LIST ? 2 : 1);
});

/** Whether a message has, and announces, few enough values to be decoded. */
export function hasBoundedValues(
  bytes: Uint8Array,
  maximum = MAXIMUM_VALUES,
): boolean {
  const {length} = bytes;
  let values = 0;
  let announced = 0;
  let offset = 0;
  while (offset < length) {
    const first = bytes[offset] as number;
    const size = SIZES[first] as number;
    values += 1;
    if (size !== HAS_HEADER) {
      announced += ANNOUNCED[first] as number;
      offset += size;
    } else if (first in COUNT_BYTES) {
      const countBytes = COUNT_BYTES[first] as number;
      announced += readNumber(bytes, offset + 1, countBytes);
      offset += 1 + countBytes;
    } else {
      const lengthBytes = LENGTH_BYTES[first] as number;
      const content = readNumber(bytes, offset + 1, lengthBytes);
      offset += 1 + lengthBytes + (TYPE_BYTES[first] ?? 0) + content;
    }
    if (values > maximum || announced > maximum) {
      return false;
    }
  }
  return true;
}

function readNumber(bytes: Uint8Array, start: number, count: number): number {
  let number = 0;
  for (let i = 0; i < count; i += 1) {
    number = number * 256 + (bytes[start + i] ?? 0);
  }
  return number;
}
