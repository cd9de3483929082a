// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Formats calls to upstreams and classifies their answers. */

import type {IncomingHttpHeaders} from 'node:http';
import type {UpstreamIncarnation, UpstreamNotice} from '@lockpin/types';
import type {CallHead, FlatHeaders} from './frames.js';
import {readUpstreamNotice} from './upstreamNotice.js';

/** What an answer means for its call, besides its status. */
export type AnswerClassification =
  | 'answer'
  /** An answer from an upstream that is overloaded rather than faulty. */
  | 'overloaded'
  /** The upstream states that it did not run the call. */
  | 'not-run'
  /** Another process than the intended one; it did not run the call. */
  | 'other-upstream'
  /** Not an answer to this call; whether the call ran is unknown. */
  | 'invalid'
  /** Not an answer in HTTP, whatever it says. */
  | 'no-answer';

/** What is known of a call when it is sent to its upstream. */
export interface UpstreamCall {
  readonly head: CallHead;
  /** Milliseconds left until the deadline. */
  readonly remaining: number;
  /** The deadline in milliseconds since 1970. */
  readonly deadline: number;
  /** The intended process; undefined when unknown. */
  readonly incarnation: UpstreamIncarnation | undefined;
}

/** The HTTP conventions between a deployment and its upstreams. */
export interface UpstreamProtocol {
  readonly callHeaders: (call: UpstreamCall) => FlatHeaders;
  readonly classifyAnswer: (
    head: CallHead,
    status: number,
    headers: IncomingHttpHeaders,
  ) => AnswerClassification;
  /** Reads what the upstream states about itself in an answer. */
  readonly readNotice: (headers: IncomingHttpHeaders) => UpstreamNotice;
  /** Whether answers without a length are buffered until they are complete. */
  readonly buffersUnframed: boolean;
}

/** The upstream rejected the call because of its load. */
const TOO_MANY_REQUESTS = 429;

/** The same, if the answer has a Retry-After header. */
const UNAVAILABLE = 503;

/** The default protocol. */
export const LOCKPIN_UPSTREAM_PROTOCOL: UpstreamProtocol = {
  callHeaders: ({head, deadline}) => [
    ...head.headers,
    'lockpin-deadline',
    String(Math.ceil(deadline)),
  ],
  classifyAnswer: (_head, status, headers) => {
    const isShed =
      status === TOO_MANY_REQUESTS ||
      (status === UNAVAILABLE && headers['retry-after'] !== undefined);
    return isShed ? 'overloaded' : 'answer';
  },
  readNotice: (headers) =>
    readUpstreamNotice({
      limit: headers['lockpin-upstream-limit'],
      leaving: headers['lockpin-upstream-leaving'],
    }),
  buffersUnframed: false,
};
