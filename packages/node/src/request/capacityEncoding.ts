// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Positional encoding of what a reply tells about other upstreams. */

import type {CapacityRow} from '@lockpin/routing';
import {
  decodeWait,
  encodeRetries,
  encodeShare,
  encodeWait,
} from './wireCodes.js';

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
  rejectedPercent?: number | null,
];

/** Encodes the rows of a reply. */
export function encodeCapacityRows(
  rows: readonly CapacityRow[],
): readonly EncodedCapacityRow[] {
  return rows.map((row) => {
    const {box, occupied, limit, slotIn, retriesLeft, rejectedShare} = row;
    const units = Math.ceil(row.age / AGE_UNIT_MILLISECONDS);
    const load = [box, occupied, Math.ceil(limit), units] as const;
    if (rejectedShare !== undefined) {
      return [
        ...load,
        encodeWait(slotIn),
        encodeRetries(retriesLeft),
        encodeShare(rejectedShare),
      ];
    }
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
  return rows.map(([box, occupied, limit, units, ...optional]) => {
    const [slotIn, retriesLeft, rejectedPercent] = optional;
    return {
      box,
      occupied,
      limit,
      ...(typeof slotIn === 'number' && {slotIn: decodeWait(slotIn)}),
      ...(typeof retriesLeft === 'number' && {retriesLeft}),
      ...(typeof rejectedPercent === 'number' && {
        rejectedShare: rejectedPercent / 100,
      }),
      age: units * AGE_UNIT_MILLISECONDS,
    };
  });
}
