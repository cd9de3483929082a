// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which nodes of a data centre read for the others: those of the lowest rank. */

import {stableHash} from './hashing.js';

/** The same on every node, and with no relation to names or addresses. */
export function readerRank(box: string): number {
  return stableHash(`log-reader ${box}`);
}
