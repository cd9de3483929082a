// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Ranks nodes of a data centre; those of the lowest rank read for the others.
 */

import {stableHash} from './hashing.js';

/**
 * Same result on every node, independent of the order of names and addresses.
 */
export function readerRank(box: string): number {
  return stableHash(`log-reader ${box}`);
}
