// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * What a node makes of keys when it has heard nothing new for long. A key may have
 * been withdrawn since, or given out.
 */

/** What operators chose for nodes that hear nothing. */
export interface KeyPolicy {
  /** A withdrawn key is to be refused everywhere after this time, in milliseconds. */
  readonly withdrawalMilliseconds: number;
  /**
   * True: a node that cannot know of withdrawals refuses calls with keys until it
   * can. False: it serves them on, so that a lost store stops no caller.
   */
  readonly refusesWhenOutdated: boolean;
}

/** For deployments that say nothing of it: a lost store stops no caller. */
export const DEFAULT_KEY_POLICY: KeyPolicy = {
  withdrawalMilliseconds: 5000,
  refusesWhenOutdated: false,
};

/**
 * Whether a node may serve calls with the keys it knows, by the time since the store
 * last answered this node or one that it hears; undefined when none ever did.
 */
export function mayServeKnownKeys(
  {withdrawalMilliseconds, refusesWhenOutdated}: KeyPolicy,
  newsAge: number | undefined,
): boolean {
  return (
    !refusesWhenOutdated ||
    (newsAge !== undefined && newsAge <= withdrawalMilliseconds)
  );
}

/**
 * Part of the time in which withdrawals are to be in force that a read of the store
 * may take where outdated nodes refuse: its end is what shows that nothing is new,
 * and readers tell of it once a second.
 */
const READ_SHARE = 0.5;

/** The longest read of the store that still shows in time that nothing is new. */
export function longestReadFor({
  withdrawalMilliseconds,
  refusesWhenOutdated,
}: KeyPolicy): number {
  return refusesWhenOutdated
    ? withdrawalMilliseconds * READ_SHARE
    : Number.POSITIVE_INFINITY;
}
