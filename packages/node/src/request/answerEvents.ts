// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Translates the ends of upstreams' answers into events of the guard. */

import type {GuardEvent} from '@lockpin/brain';
import {headerRecord} from './headers.js';
import type {UpstreamAnswer} from './upstreamAnswer.js';

/** The event for a response that is not an answer; undefined for others. */
export function failureEvent(
  callId: string,
  {classification}: UpstreamAnswer,
): GuardEvent | undefined {
  switch (classification) {
    case 'not-run':
      return {kind: 'upstream-refused', callId, reason: 'upstream-refused'};
    case 'other-upstream':
      return {kind: 'upstream-refused', callId, reason: 'upstream-replaced'};
    case 'invalid':
      return interruptedEvent(callId);
    default:
      return undefined;
  }
}

/** The event for an answer that was interrupted. */
export function interruptedEvent(callId: string): GuardEvent {
  return {kind: 'upstream-failed', callId, wasSent: true};
}

/** The event for a complete answer. */
export function answeredEvent(
  callId: string,
  answer: UpstreamAnswer,
): GuardEvent {
  const stored = answer.stored();
  return {
    kind: 'upstream-answered',
    callId,
    status: answer.status,
    isShed: answer.classification === 'overloaded',
    answer:
      stored === undefined
        ? undefined
        : {...stored, headers: headerRecord(answer.headers)},
  };
}
