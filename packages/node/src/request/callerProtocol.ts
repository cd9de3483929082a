// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How callers' requests are read, and how answers and refusals are written. */

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

/** A deployment's way of talking to callers. */
export interface CallerProtocol {
  /** Names the request in logs and answers. */
  readonly requestId: (request: IncomingMessage) => string;
  /** Reads the request, or says why it cannot be routed; it has not run then. */
  readonly read: (
    request: IncomingMessage,
  ) => Result<CallerRequest, UnroutedRequest>;
  /** The headers that go with a call; attempts count from 1. */
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

/** The product's own way; see docs/guides/callers.md. */
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
