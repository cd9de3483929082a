// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Parses callers' requests and formats answers and refusals. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {v7} from 'uuid';
import type {ConfigurationState} from '@lockpin/configuration';
import type {Refusal, Result} from '@lockpin/types';
import {failure} from '@lockpin/utils';
import {readCallerRequest} from './callerRequest.js';
import type {CallerRequest, UnroutedRequest} from './callerRequest.js';
import type {AnswerHead, FlatHeaders} from './frames.js';
import {callHeaders} from './headers.js';
import {sendProblem} from './problem.js';

/** The HTTP conventions between a deployment and its callers. */
export interface CallerProtocol {
  /** Identifies the request in logs and answers. */
  readonly requestId: (request: IncomingMessage) => string;
  /**
   * Parses the request; a failure tells why it cannot be routed and did not
   * run.
   */
  readonly read: (
    request: IncomingMessage,
  ) => Result<CallerRequest, UnroutedRequest>;
  /** The request headers sent to the upstream; attempts count from 1. */
  readonly callHeaders: (
    request: IncomingMessage,
    requestId: string,
    attempt: number,
    call: CallerRequest,
  ) => FlatHeaders;
  readonly answerHeaders: (head: AnswerHead) => FlatHeaders;
  readonly refuse: (
    response: ServerResponse,
    refusal: Refusal,
    requestId: string,
    extraHeaders: Readonly<Record<string, string>>,
  ) => void;
}

/** The default protocol; see docs/guides/callers.md. */
export function lockpinCallerProtocol(
  state: () => ConfigurationState,
): CallerProtocol {
  return {
    requestId: (request) => String(request.headers['x-request-id'] ?? v7()),
    read: (request) => {
      const read = readCallerRequest(state(), request);
      return read.ok ? read : failure({reason: read.failure});
    },
    callHeaders: (request, requestId, attempt) => {
      const headers = callHeaders(request.rawHeaders);
      if (request.headers['x-request-id'] === undefined) {
        headers.push('x-request-id', requestId);
      }
      if (attempt > 1) {
        headers.push('lockpin-retry', String(attempt));
      }
      return headers;
    },
    answerHeaders: ({headers, upstream}) => [
      ...headers,
      'lockpin-outcome',
      'answered',
      'lockpin-upstream',
      upstream,
    ],
    refuse: sendProblem,
  };
}
