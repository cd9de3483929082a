// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Whether keys may be accepted by a node whose data may be stale: a key may
 * have been withdrawn or issued in the meantime.
 */

/** Operators' choice for nodes with stale data. */
export interface KeyPolicy {
  /**
   * A withdrawn key must be refused everywhere after this time, in
   * milliseconds.
   */
  readonly withdrawalMilliseconds: number;
  /**
   * True: a node that may have missed withdrawals refuses calls with keys until
   * its data is current. False: it keeps serving them, so that losing the store
   * blocks no caller.
   */
  readonly refusesWhenOutdated: boolean;
}

/** Used if a deployment sets no policy: losing the store blocks no caller. */
export const DEFAULT_KEY_POLICY: KeyPolicy = {
  withdrawalMilliseconds: 5000,
  refusesWhenOutdated: false,
};

/**
 * Whether a node may accept the keys it knows, given the milliseconds since the
 * store last answered this node or a reader it follows; undefined if it never
 * did.
 */
export function mayAcceptKnownKeys(
  {withdrawalMilliseconds, refusesWhenOutdated}: KeyPolicy,
  staleness: number | undefined,
): boolean {
  return (
    !refusesWhenOutdated ||
    (staleness !== undefined && staleness <= withdrawalMilliseconds)
  );
}

/**
 * Fraction of the withdrawal time that a read of the store may take if stale
 * nodes refuse keys: only the end of a read proves that nothing changed, and
 * readers report it once a second.
 */
const READ_TIME_SHARE = 0.5;

/**
 * The longest read of the store that still confirms in time that nothing
 * changed.
 */
export function maximumReadFor({
  withdrawalMilliseconds,
  refusesWhenOutdated,
}: KeyPolicy): number {
  return refusesWhenOutdated
    ? withdrawalMilliseconds * READ_TIME_SHARE
    : Number.POSITIVE_INFINITY;
}
