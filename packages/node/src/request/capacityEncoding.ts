// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Positional encoding of what a reply tells about other upstreams. */

import type {CapacityRow} from '@lockpin/routing';
import {decodeWait, encodeRetries, encodeWait} from './wireCodes.js';

/** Ages up to a second then take one byte; rounded up, so none looks newer. */
const AGE_UNIT_MILLISECONDS = 8;

/** The row of one upstream; values at the end that are absent are left out. */
export type EncodedCapacityRow = readonly [
  box: string,
  occupied: number,
  limit: number,
  age: number,
  slotIn?: number | null,
  retriesLeft?: number | null,
];

/** Encodes the rows of a reply. */
export function encodeCapacityRows(
  rows: readonly CapacityRow[],
): readonly EncodedCapacityRow[] {
  return rows.map(({box, occupied, limit, slotIn, retriesLeft, age}) => {
    const units = Math.ceil(age / AGE_UNIT_MILLISECONDS);
    const load = [box, occupied, Math.ceil(limit), units] as const;
    if (retriesLeft !== undefined) {
      return [...load, encodeWait(slotIn), encodeRetries(retriesLeft)];
    }
    return slotIn === undefined ? load : [...load, encodeWait(slotIn)];
  });
}

/** Decodes the rows of a reply. */
export function decodeCapacityRows(
  rows: readonly EncodedCapacityRow[],
): readonly CapacityRow[] {
  return rows.map(([box, occupied, limit, units, slotIn, retriesLeft]) => ({
    box,
    occupied,
    limit,
    ...(typeof slotIn === 'number' && {slotIn: decodeWait(slotIn)}),
    ...(typeof retriesLeft === 'number' && {retriesLeft}),
    age: units * AGE_UNIT_MILLISECONDS,
  }));
}
