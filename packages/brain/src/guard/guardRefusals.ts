// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The refusals of a guard. */

import type {LoadHint} from '@lockpin/routing';
import type {RefusalOutcome, RefusalReason} from '@lockpin/types';
import type {GuardAction, GuardCall} from './guardMessages.js';
import type {UpstreamGuard} from './upstreamGuard.js';

/** Tells an entry that its call does not run here. */
export type RefuseAction = GuardAction & {readonly kind: 'refuse'};

/** Refuses a call, with what its entry should know of the upstream. */
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
  };
}

/**
 * The upstream may be well, but nothing reaches it through this node. What the
 * guard thinks of it no longer counts: a probe of it would be refused as well.
 */
export function leavingHint({occupied, limit}: LoadHint): LoadHint {
  return {state: 'draining', occupied, limit};
}
