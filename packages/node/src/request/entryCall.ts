// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Builds a call for the entry's decision logic, and its request digest. */

import type {IncomingMessage} from 'node:http';
import type {EntryCall} from '@lockpin/brain';
import {sha256Hex, shortDigest} from '@lockpin/utils';
import type {ArrivedRequest, CallerExchange} from './callerExchange.js';
import type {CallerRequest} from './callerRequest.js';

/** Length of a request digest; it is sent each time a slot is taken. */
const DIGEST_BYTES = 12;

/**
 * The digest of a request: equal for requests that an upstream cannot
 * distinguish, at whichever box they arrive. A streamed body is represented by
 * its length and its beginning; the digest is empty when the beginning did not
 * arrive in time.
 */
export function computeRequestDigest(
  {method = 'GET', headers}: IncomingMessage,
  {onceKey, path, view, caller}: CallerRequest,
  body: ArrivedRequest['body'],
): string {
  const content = body.kind === 'held' ? body.bytes : body.beginning;
  if (onceKey !== undefined) {
    return sha256Hex(`${method} ${path}\n${sha256Hex(content ?? '')}`);
  }
  const host = headers.host ?? '';
  const call = [view.name, caller, method, host, path];
  const length = headers['content-length'] ?? '';
  const head = body.kind === 'held' ? call : [...call, 'streamed', length];
  return content === undefined ? '' : shortDigest(head, content, DIGEST_BYTES);
}

/** Builds the call as the entry's decision logic receives it. */
export function entryCall(
  {id, call, isReplayable, requestDigest}: CallerExchange,
  bytes: number,
  deadline: number,
  mayBeRepeat: boolean,
): EntryCall {
  const {view, route, customer, priority, isNested} = call;
  const {onceKey, isFirstWithKey, isCallersRetry} = call;
  return {
    id,
    view,
    route,
    customer,
    priority,
    requestDigest,
    bytes,
    deadline,
    onceKey,
    isFirstWithKey,
    isReplayable,
    isCallersRetry,
    mayBeRepeat,
    isNested,
  };
}
