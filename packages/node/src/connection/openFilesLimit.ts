// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The limit of file descriptors that the system enforces. */

import {readFileSync} from 'node:fs';

/** Reads a file of the system; throws if there is none. */
export type ReadSystemFile = (path: string) => string;

const SOFT_LIMIT = /^Max open files +(\d+)/m;

/** Descriptors that this process may have; infinite where that is not known. */
export function openFilesLimit(
  read: ReadSystemFile = (path) => readFileSync(path, 'utf8'),
): number {
  try {
    const [, limit] = SOFT_LIMIT.exec(read('/proc/self/limits')) ?? [];
    return limit === undefined ? Number.POSITIVE_INFINITY : Number(limit);
  } catch {
    // Only Linux has this file.
    return Number.POSITIVE_INFINITY;
  }
}
