// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Refuses requests before they become calls. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Refusal, RefusalReason} from '@lockpin/types';
import {BODY_BUFFER_LIMIT_BYTES} from './bodyLimits.js';
import type {EntryServiceDependencies} from './entryServiceDependencies.js';

/** Retry delay given while the node is not ready, in milliseconds. */
const NOT_READY_RETRY_MILLISECONDS = 500;

/** Retry delay given when a key could not be confirmed, in milliseconds. */
const OUTDATED_RETRY_MILLISECONDS = 500;

/** Retry delay by reason, in milliseconds; 0 for all others. */
const RETRY_MILLISECONDS: Readonly<Partial<Record<RefusalReason, number>>> = {
  'not-ready': NOT_READY_RETRY_MILLISECONDS,
  'keys-outdated': OUTDATED_RETRY_MILLISECONDS,
};

/** A request that is refused before it becomes a call. */
export interface RefusedRequest {
  readonly response: ServerResponse;
  readonly requestId: string;
  /** Present when its body has not been read yet. */
  readonly request?: IncomingMessage;
}

/** Why this node accepts no requests now; undefined when it does. */
export function unavailabilityReason({
  isLeaving,
  isReady,
}: Pick<EntryServiceDependencies, 'isLeaving' | 'isReady'>):
  RefusalReason | undefined {
  if (isLeaving()) {
    return 'node-leaving';
  }
  return isReady() ? undefined : 'not-ready';
}

/**
 * Refuses a request unless it was answered while it was read; keeps the connection
 * if the unread body is short.
 */
export function refuseRequest(
  dependencies: Pick<
    EntryServiceDependencies,
    'protocol' | 'metrics' | 'logger'
  >,
  {response, requestId, request}: RefusedRequest,
  reason: RefusalReason,
  retryAfterMilliseconds = RETRY_MILLISECONDS[reason] ?? 0,
): void {
  const {protocol, metrics, logger} = dependencies;
  if (response.writableEnded) {
    return;
  }
  const refusal: Refusal = {
    reason,
    outcome: 'not-run',
    retryAfterMilliseconds,
  };
  if (request === undefined || !hasShortBody(request)) {
    response.shouldKeepAlive = false;
  }
  protocol.refuse(response, refusal, requestId, {});
  request?.resume();
  metrics.increment('calls.refused', {reason});
  logger.debug('call refused', {requestId, reason});
}

/** Whether the unread body is short enough to be read and discarded. */
function hasShortBody({headers}: IncomingMessage): boolean {
  const length = Number(headers['content-length'] ?? 0);
  return !('transfer-encoding' in headers) && length <= BODY_BUFFER_LIMIT_BYTES;
}
