// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Refuse actions and load hints of a guard. */

import type {LoadHint} from '@lockpin/routing';
import type {RefusalOutcome, RefusalReason} from '@lockpin/types';
import type {GuardCall} from './guardCall.js';
import type {GuardAction} from './guardMessages.js';
import type {UpstreamGuard} from './upstreamGuard.js';

/** The action that refuses a call to its entry. */
export type RefuseAction = GuardAction & {readonly kind: 'refuse'};

/** Creates the refusal of a call, with the upstream's current load hint. */
export function refuse(
  now: number,
  call: GuardCall,
  reason: RefusalReason,
  outcome: RefusalOutcome,
  upstream: UpstreamGuard | undefined,
  retryAfterMilliseconds = 0,
): RefuseAction {
  return {
    kind: 'refuse',
    callId: call.id,
    refusal: {reason, outcome, retryAfterMilliseconds},
    upstream: upstream?.name ?? '',
    hint: upstream?.hint(now),
    doubtReason:
      reason === 'upstream-doubted' ? upstream?.doubtReason(now) : undefined,
    limit:
      reason === 'upstream-over-limit'
        ? upstream?.notice.limitInForce(now)
        : undefined,
  };
}

/**
 * The hint for an upstream on a node that is leaving. The upstream may be
 * healthy, and is then a fallback for some milliseconds. Doubt is left out, since
 * a probe would be refused.
 */
export function leavingHint(
  {state, occupied, limit, notice}: LoadHint,
  fallbackFor: number,
): LoadHint {
  return {
    state: 'draining',
    occupied,
    limit,
    ...(notice && {notice}),
    ...(state === 'accepting' && fallbackFor > 0 && {fallbackFor}),
  };
}
