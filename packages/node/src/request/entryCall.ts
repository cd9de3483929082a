// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What the entry's brain is told of a call, and what tells calls apart. */

import type {IncomingMessage} from 'node:http';
import type {EntryCall} from '@lockpin/brain';
import {sha256Hex} from '@lockpin/utils';
import type {CallerExchange} from './callerExchange.js';
import type {CallerRequest} from './callerRequest.js';

/** Tells repeats of a once-only call apart from other calls under its key. */
export function digestOf(
  {method}: IncomingMessage,
  {onceKey, path}: CallerRequest,
  body: Buffer | undefined,
): string {
  return onceKey === undefined
    ? ''
    : sha256Hex(`${method} ${path}\n${sha256Hex(body ?? '')}`);
}

/** The call as the entry's brain is told of it. */
export function entryCall(
  {id, call, isReplayable}: CallerExchange,
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
    bytes,
    deadline,
    onceKey,
    isFirstWithKey,
    isReplayable,
    isCallersRetry,
    mayBeRepeat,
  };
}
