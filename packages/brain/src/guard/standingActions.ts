// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Actions that publish changes of an upstream's standing. */

import type {GuardAction} from './guardMessages.js';
import type {UpstreamGuard} from './upstreamGuard.js';
import type {StandingChange} from './upstreamStanding.js';

/** The timeline entry for a change of standing. */
export function standingEvent(
  {name}: UpstreamGuard,
  {change, verdict}: StandingChange,
): GuardAction {
  const {severity, cause, route} = verdict;
  return {
    kind: 'timeline',
    event: `upstream-${change}`,
    subject: name,
    detail: {severity: Math.round(severity * 100) / 100, cause, route},
  };
}

/** Actions that publish the start or end of doubt; none if unchanged. */
export function doubtChangeActions(
  now: number,
  upstream: UpstreamGuard,
  wasDoubted: boolean,
): readonly GuardAction[] {
  const isDoubted = upstream.isDoubted(now);
  if (isDoubted === wasDoubted) {
    return [];
  }
  const {name} = upstream;
  const detail = {
    remaining: upstream.remainingHold(now),
    cause: upstream.doubtCause,
  };
  const event = isDoubted ? 'upstream-doubted' : 'upstream-trusted';
  return [
    {kind: 'timeline', event, subject: name, detail},
    {kind: 'standing', upstream: name, hint: upstream.hint(now)},
  ];
}
