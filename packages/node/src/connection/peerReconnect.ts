// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Backoff of connects to a peer that could not be reached. */

/** Interval after the first failed connect; each further one doubles it. */
const FIRST_INTERVAL_MILLISECONDS = 100;

/** Longest interval, so that a peer that is back is found soon. */
const LONGEST_INTERVAL_MILLISECONDS = 2000;

/** The failed connects to a peer since the last that succeeded. */
export interface FailedConnects {
  readonly count: number;
  /** When a connect may be tried again, in milliseconds. */
  readonly retryAt: number;
}

/** Whether a new call may connect to the peer. */
export function mayConnect(
  failed: FailedConnects | undefined,
  now: number,
): boolean {
  return failed === undefined || now >= failed.retryAt;
}

/** Counts a connect that failed; those that fail together count once. */
export function countFailedConnect(
  failed: FailedConnects | undefined,
  now: number,
): FailedConnects {
  if (failed !== undefined && now < failed.retryAt) {
    return failed;
  }
  const count = (failed?.count ?? 0) + 1;
  const interval = Math.min(
    LONGEST_INTERVAL_MILLISECONDS,
    FIRST_INTERVAL_MILLISECONDS * 2 ** (count - 1),
  );
  return {count, retryAt: now + interval};
}
