// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Chooses the subset of upstreams of a service that an entry calls. */

import {stableHash} from '@lockpin/utils';

/** The properties of an upstream that subsetting needs. */
export interface SubsetCandidate {
  readonly name: string;
  readonly dataCentre: string;
}

/** Sizes of a subset, in the entry's own data centre and in others. */
export interface SubsetSizes {
  readonly local: number;
  readonly remote: number;
}

/** Enough for two random choices to balance, few enough to stay connected. */
export const DEFAULT_SUBSET_SIZES: SubsetSizes = {local: 8, remote: 8};

/**
 * Uses rendezvous hashing: adding or removing an upstream changes at most one
 * local and one remote member of the subset.
 */
export function chooseSubset<T extends SubsetCandidate>(
  entry: string,
  dataCentre: string,
  candidates: readonly T[],
  sizes: SubsetSizes = DEFAULT_SUBSET_SIZES,
): readonly T[] {
  const local = candidates.filter((item) => item.dataCentre === dataCentre);
  const remote = candidates.filter((item) => item.dataCentre !== dataCentre);
  return [
    ...highestHashes(entry, local, sizes.local),
    ...highestHashes(entry, remote, sizes.remote),
  ];
}

function highestHashes<T extends SubsetCandidate>(
  entry: string,
  candidates: readonly T[],
  size: number,
): readonly T[] {
  if (candidates.length <= size) {
    return candidates;
  }
  return candidates
    .map((item) => ({item, rank: stableHash(`${entry} ${item.name}`)}))
    .sort((a, b) => b.rank - a.rank)
    .slice(0, size)
    .map(({item}) => item);
}
