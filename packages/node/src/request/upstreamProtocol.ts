// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How calls are written to upstreams, and what their answers say. */

import type {IncomingHttpHeaders} from 'node:http';
import type {UpstreamIncarnation} from '@lockpin/types';
import type {CallHead, FlatHeaders} from './frames.js';

/** What an answer says of the call, besides its status. */
export type AnswerVerdict =
  | 'answer'
  /** An answer, but the upstream has too much to do rather than being ill. */
  | 'overloaded'
  /** The upstream states that it did not run the call. */
  | 'not-run'
  /** Another process than the one meant; it did not run the call. */
  | 'other-upstream'
  /** Not an answer to this call; whether it ran is not known. */
  | 'invalid';

/** What is known when a call goes to its upstream. */
export interface UpstreamCall {
  readonly head: CallHead;
  /** Milliseconds left until the deadline. */
  readonly remaining: number;
  /** The same moment, in milliseconds since 1970. */
  readonly deadline: number;
  /** The process that is meant; undefined when not known. */
  readonly incarnation: UpstreamIncarnation | undefined;
}

/** A deployment's way of talking to its upstreams. */
export interface UpstreamProtocol {
  readonly callHeaders: (call: UpstreamCall) => FlatHeaders;
  readonly judge: (
    head: CallHead,
    status: number,
    headers: IncomingHttpHeaders,
  ) => AnswerVerdict;
  /** Whether answers without a length are held back until they are whole. */
  readonly holdsUnframed: boolean;
}

/** The upstream turned the call away for its load. */
const TOO_MANY_REQUESTS = 429;

/** The same, when it says how soon to come back. */
const UNAVAILABLE = 503;

/** The product's own way. */
export const LOCKPIN_UPSTREAM_PROTOCOL: UpstreamProtocol = {
  callHeaders: ({head, deadline}) => [
    ...head.headers,
    'lockpin-deadline',
    String(Math.ceil(deadline)),
  ],
  judge: (_head, status, headers) => {
    const isShed =
      status === TOO_MANY_REQUESTS ||
      (status === UNAVAILABLE && headers['retry-after'] !== undefined);
    return isShed ? 'overloaded' : 'answer';
  },
  holdsUnframed: false,
};
