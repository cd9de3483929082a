// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Logging of guard actions that concern the node. */

import type {GuardNodeAction} from '../request/guardService.js';
import type {DecisionLog} from './decisionLog.js';

/** Logs a guard action of a kind that is logged; ignores all others. */
export function logGuardAction(
  log: DecisionLog,
  action: GuardNodeAction,
): void {
  if (action.kind === 'upstream-crashed') {
    const {upstream, digests} = action;
    log.event(action.kind, {subject: upstream, requests: digests});
  }
  if (action.kind === 'timeline') {
    const {event, subject, detail} = action;
    log.event(event, {subject, ...detail});
  }
}
