// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The record of a call at its end, for the log. */

import type {CallRecord} from './callStory.js';
import type {CallerExchange} from './callerExchange.js';

/** What became of a call. */
export function recordOf(
  {requestId, requestDigest, call, story, status}: CallerExchange,
  outcome: CallRecord['outcome'],
  reason: string,
  milliseconds: number,
): CallRecord {
  return {
    requestId,
    requestDigest,
    service: call.view.name,
    route: call.route.name,
    version: call.version,
    outcome,
    reason,
    status,
    milliseconds: Math.round(milliseconds),
    attempts: story.attempts,
  };
}
