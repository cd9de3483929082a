// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What follows from the refused offers of a round for further ones. */

import type {RefusalReason} from '@lockpin/types';
import type {CallState} from './callState.js';

/** For a call that limits refuse, the shortest wait that a guard reported. */
export function shortestRetryAfter(
  {shortestWait}: CallState,
  reason: RefusalReason,
  retryAfter: number,
): number {
  const isReported = reason === 'upstream-over-limit' && shortestWait > 0;
  return isReported ? Math.min(retryAfter, shortestWait) : retryAfter;
}

/**
 * Whether only limits keep the call out, and guards have refused to let it wait
 * for them. Unlike a slot, a limit does not become free early, so a pause would
 * not help.
 */
export function isKeptOutByLimits(
  {isOnlyLimited, terms}: CallState,
  reason: RefusalReason,
): boolean {
  return (
    reason === 'upstream-over-limit' && isOnlyLimited && terms !== 'immediate'
  );
}
