// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a guard came to believe, in the log. */

import type {GuardNews} from '../request/guardService.js';
import type {DecisionLog} from './decisionLog.js';

/** Writes the line of one piece of news, where it has one. */
export function logGuardNews(log: DecisionLog, action: GuardNews): void {
  if (action.kind === 'upstream-crashed') {
    const {upstream, digests} = action;
    log.event(action.kind, {subject: upstream, requests: digests});
  }
  if (action.kind === 'timeline') {
    const {event, subject, detail} = action;
    log.event(event, {subject, ...detail});
  }
}
