// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The values at the end of a row that describe the capacity of an upstream. */

import type {CapacityRow} from '@lockpin/routing';

/** Spare capacity; values that are absent are null, or left out at the end. */
export type CapacityValues = readonly [
  slotIn?: number | null,
  retriesLeft?: number | null,
  rejectedPercent?: number | null,
];

type Capacity = Pick<CapacityRow, 'slotIn' | 'retriesLeft' | 'rejectedShare'>;

/** Longer waits for a slot, also infinite ones, are sent as this value. */
const LONGEST_WAIT_MILLISECONDS = 0xffff;

/** More retries are sent as this value, which takes one byte. */
const MOST_RETRIES_SENT = 0x7f;

/** Encodes a wait in milliseconds, retries, and a share as whole percents. */
export function encodeCapacity({
  slotIn,
  retriesLeft,
  rejectedShare,
}: Capacity): CapacityValues {
  return [
    slotIn === undefined
      ? null
      : Math.min(LONGEST_WAIT_MILLISECONDS, Math.ceil(slotIn)),
    retriesLeft === undefined ? null : Math.min(MOST_RETRIES_SENT, retriesLeft),
    rejectedShare === undefined ? null : Math.round(rejectedShare * 100),
  ];
}

/** Decodes what encodeCapacity encoded; absent values remain absent. */
export function decodeCapacity([
  slotIn,
  retriesLeft,
  rejectedPercent,
]: CapacityValues): Capacity {
  return {
    ...(typeof slotIn === 'number' && {slotIn: decodeWait(slotIn)}),
    ...(typeof retriesLeft === 'number' && {retriesLeft}),
    ...(typeof rejectedPercent === 'number' && {
      rejectedShare: rejectedPercent / 100,
    }),
  };
}

/** Leaves out the absent values at the end of a row. */
export function withoutTrailingNulls<Row extends readonly unknown[]>(
  row: Row,
): Row {
  const used = row.findLastIndex((value) => value !== null) + 1;
  return row.slice(0, used) as unknown as Row;
}

/** The longest value stands for an infinite wait. */
function decodeWait(milliseconds: number): number {
  return milliseconds >= LONGEST_WAIT_MILLISECONDS
    ? Number.POSITIVE_INFINITY
    : milliseconds;
}
