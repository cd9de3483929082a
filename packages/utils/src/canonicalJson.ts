// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** JSON with sorted keys, so that equal values serialize to equal text. */

/** Serializes a value with the keys of every object sorted. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, part: unknown) =>
    isPlainObject(part) ? sortByKey(part) : part,
  );
}

function isPlainObject(part: unknown): part is Record<string, unknown> {
  return typeof part === 'object' && part !== null && !Array.isArray(part);
}

function sortByKey(part: Record<string, unknown>): Record<string, unknown> {
  return Object.fromEntries(
    Object.entries(part).sort(([a], [b]) => (a < b ? -1 : 1)),
  );
}
