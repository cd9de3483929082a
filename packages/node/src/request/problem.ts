// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Refusals as HTTP problem documents (RFC 9457). */

import type {ServerResponse} from 'node:http';
import type {Refusal, RefusalReason} from '@lockpin/types';

const STATUS_BY_REASON: Readonly<Partial<Record<RefusalReason, number>>> = {
  'service-unknown': 404,
  'route-unknown': 404,
  'credential-wrong': 401,
  'key-missing': 401,
  'key-unknown': 401,
  'customer-over-limit': 429,
  'request-malformed': 400,
  'body-too-large': 413,
  'customer-over-share': 429,
  'deadline-passed': 504,
  'deadline-too-short': 503,
  'guard-lost': 502,
  'upstream-failed': 502,
  'once-key-missing': 400,
  'once-key-malformed': 400,
  'once-key-reused': 422,
  'once-key-refused': 409,
  'once-key-running': 409,
  'once-already-ran': 409,
  'once-key-expired': 409,
};

const DEFAULT_STATUS = 503;

/** The HTTP status of a refusal. */
export function refusalStatus(reason: RefusalReason): number {
  return STATUS_BY_REASON[reason] ?? DEFAULT_STATUS;
}

/**
 * Sends a refusal as application/problem+json, with its outcome as a header.
 */
export function sendProblem(
  response: ServerResponse,
  refusal: Refusal,
  requestId: string,
  extraHeaders: Readonly<Record<string, string>> = {},
): void {
  const {reason, outcome, retryAfterMilliseconds} = refusal;
  const status = refusalStatus(reason);
  const body = JSON.stringify({
    type: `urn:lockpin:refusal:${reason}`,
    title: reason.replaceAll('-', ' '),
    status,
    reason,
    outcome,
    retryAfterMilliseconds,
    requestId,
  });
  response.writeHead(status, {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(body),
    'lockpin-outcome': outcome,
    'lockpin-reason': reason,
    'x-request-id': requestId,
    ...retryHeaders(retryAfterMilliseconds),
    ...extraHeaders,
  });
  response.end(body);
}

function retryHeaders(milliseconds: number): Record<string, string> {
  return milliseconds <= 0
    ? {}
    : {
        'retry-after': String(Math.ceil(milliseconds / 1000)),
        'lockpin-retry-after-milliseconds': String(milliseconds),
      };
}
