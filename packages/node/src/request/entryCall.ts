// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What the entry's brain is told of a call, and what tells calls apart. */

import type {IncomingMessage} from 'node:http';
import type {EntryCall} from '@lockpin/brain';
import {sha256Hex, shortDigest} from '@lockpin/utils';
import type {ArrivedRequest, CallerExchange} from './callerExchange.js';
import type {CallerRequest} from './callerRequest.js';

/** Bytes of the digest of a request; every slot that is taken carries them. */
const DIGEST_BYTES = 12;

/**
 * The same for two requests that an upstream cannot tell apart, whoever sends them at
 * whichever box. A streamed body counts by its length and its beginning; empty where that
 * came too late.
 */
export function digestOf(
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

/** The call as the entry's brain is told of it. */
export function entryCall(
  {id, call, isReplayable, requestDigest}: CallerExchange,
  bytes: number,
  deadline: number,
  mayBeRepeat: boolean,
): EntryCall {
  const {view, route, customer, onceKey, isFirstWithKey, isCallersRetry} = call;
  return {
    id,
    view,
    route,
    customer,
    requestDigest,
    bytes,
    deadline,
    onceKey,
    isFirstWithKey,
    isReplayable,
    isCallersRetry,
    mayBeRepeat,
  };
}
