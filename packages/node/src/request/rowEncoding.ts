// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Encodes objects as rows of values without field names, which would be a third
 * of the bytes.
 */

/** Encodes an object as a row; undefined becomes null, which takes one byte. */
export function encodeRow<T extends object>(
  fields: readonly (keyof T)[],
  value: T,
): readonly unknown[] {
  return fields.map((field) => value[field] ?? null);
}

/** Decodes an object from its row. */
export function decodeRow<T extends object>(
  fields: readonly (keyof T)[],
  row: readonly unknown[],
): T {
  return Object.fromEntries(
    fields.map((field, i) => [field, row[i] ?? undefined]),
  ) as T;
}
