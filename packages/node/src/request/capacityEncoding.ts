// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Positional encoding of what a reply contains about other upstreams. */

import type {CapacityRow} from '@lockpin/routing';
import {
  decodeCapacity,
  encodeCapacity,
  withoutTrailingNulls,
} from './capacityValues.js';
import type {CapacityValues} from './capacityValues.js';

/** Ages up to a second then take one byte; rounded up, so none looks newer. */
const AGE_UNIT_MILLISECONDS = 8;

/** The row of one upstream; values at the end that are absent are left out. */
export type EncodedCapacityRow = readonly [
  box: string,
  occupied: number,
  limit: number,
  age: number,
  ...capacity: CapacityValues,
];

/** Encodes the rows of a reply. */
export function encodeCapacityRows(
  rows: readonly CapacityRow[],
): readonly EncodedCapacityRow[] {
  return rows.map((row) =>
    withoutTrailingNulls<EncodedCapacityRow>([
      row.box,
      row.occupied,
      Math.ceil(row.limit),
      Math.ceil(row.age / AGE_UNIT_MILLISECONDS),
      ...encodeCapacity(row),
    ]),
  );
}

/** Decodes the rows of a reply. */
export function decodeCapacityRows(
  rows: readonly EncodedCapacityRow[],
): readonly CapacityRow[] {
  return rows.map(([box, occupied, limit, units, ...capacity]) => ({
    box,
    occupied,
    limit,
    ...decodeCapacity(capacity),
    age: units * AGE_UNIT_MILLISECONDS,
  }));
}
