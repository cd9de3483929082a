// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Translates the ends of upstreams' answers into events of the guard. */

import type {GuardEvent} from '@lockpin/brain';
import {NO_ANSWER} from '../connection/upstreamSocket.js';
import {headerRecord} from './headers.js';
import type {UpstreamAnswer} from './upstreamAnswer.js';

/** undici could not parse the answer; its codes are often undefined. */
const PARSER_ERROR = 'HTTPParserError';

/** Codes of undici for answers that its parser does not expect. */
const PARSER_CODES: ReadonlySet<string> = new Set([
  'ERR_ASSERTION',
  'UND_ERR_HEADERS_OVERFLOW',
]);

const NOT_MODIFIED = 304;

/** Code of undici for a body of another length than the answer states. */
const LENGTH_MISMATCH = 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH';

/**
 * Whether undici took a 304 for incomplete that states the length of the answer it
 * stands for, as HTTP allows (RFC 9110, section 8.6).
 */
export function isWholeNotModified(
  answer: UpstreamAnswer | undefined,
  error: Error,
): boolean {
  const {code} = error as NodeJS.ErrnoException;
  return answer?.status === NOT_MODIFIED && code === LENGTH_MISMATCH;
}

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
    case 'no-answer':
      return interruptedEvent(callId);
    default:
      return undefined;
  }
}

/** Why a call fails at the head of its answer; undefined if it does not. */
export function failureOf({
  classification,
}: UpstreamAnswer): string | undefined {
  switch (classification) {
    case 'invalid':
      return 'foreign-answer';
    case 'no-answer':
      return NO_ANSWER;
    default:
      return undefined;
  }
}

/** How a connection failed: the code of its error, unless it says less. */
export function connectionFailure(error: Error): string | undefined {
  const {code} = error as NodeJS.ErrnoException;
  return error.name === PARSER_ERROR || PARSER_CODES.has(code ?? '')
    ? NO_ANSWER
    : code;
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
