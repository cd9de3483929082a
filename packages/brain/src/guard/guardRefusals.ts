// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The refusals of a guard. */

import type {RefusalOutcome, RefusalReason} from '@lockpin/types';
import type {GuardAction, GuardCall} from './guardMessages.js';
import type {UpstreamGuard} from './upstreamGuard.js';

/** Refuses a call, with what its entry should know of the upstream. */
export function refuse(
  now: number,
  call: GuardCall,
  reason: RefusalReason,
  outcome: RefusalOutcome,
  upstream: UpstreamGuard | undefined,
  retryAfterMilliseconds = 0,
): GuardAction {
  return {
    kind: 'refuse',
    callId: call.id,
    refusal: {reason, outcome, retryAfterMilliseconds},
    upstream: upstream?.name ?? '',
    hint: upstream?.hint(now),
  };
}

/** The upstream may be well, but nothing reaches it through this node. */
export function leavingHint(action: GuardAction): GuardAction {
  return action.kind === 'refuse' && action.hint !== undefined
    ? {...action, hint: {...action.hint, state: 'draining'}}
    : action;
}
