// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Builds the log record of a finished call. */

import type {UnusedUpstreams} from '@lockpin/brain';
import type {CallRecord, NestedCallRecord} from './attemptHistory.js';
import type {CallerRequest} from './callerRequest.js';
import type {CallerExchange} from './callerExchange.js';

/** Builds the log record of a call from its exchange and outcome. */
export function createCallRecord(
  {requestId, requestDigest, call, attemptHistory, answer}: CallerExchange,
  outcome: CallRecord['outcome'],
  reason: string,
  milliseconds: number,
  unusedUpstreams: UnusedUpstreams | undefined,
  retryAfterMilliseconds?: number,
): CallRecord {
  return {
    requestId,
    requestDigest,
    service: call.view.name,
    route: call.route.name,
    version: call.version,
    outcome,
    reason,
    status: answer.status,
    milliseconds: Math.round(milliseconds),
    nested: nestedRecord(call),
    attempts: attemptHistory.attempts,
    unusedUpstreams,
    retryAfterMilliseconds,
  };
}

function nestedRecord({
  isNested,
  parentRequestId,
  priority,
}: CallerRequest): NestedCallRecord | undefined {
  return isNested === true && parentRequestId !== undefined
    ? {parent: parentRequestId, priority}
    : undefined;
}
