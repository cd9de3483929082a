// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The readers of a data centre in normal operation. */

import type {BoxDirectory} from './boxDirectory.js';
import type {NodeIdentity} from './nodeIdentity.js';

/**
 * Readers in each data centre. With two, one may stop without notice; if both
 * do, they are missed only until their silence is detected.
 */
export const READERS_PER_DATA_CENTRE = 2;

/** The nodes of a data centre that read the store in normal operation. */
export function preferredReaders(
  directory: BoxDirectory,
  dataCentre: string,
): readonly NodeIdentity[] {
  return directory.rankedIn(dataCentre).slice(0, READERS_PER_DATA_CENTRE);
}
