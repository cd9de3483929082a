// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Refuses requests before they become calls. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Refusal, RefusalReason} from '@lockpin/types';
import type {EntryServiceDependencies} from './entryServiceDependencies.js';
import {dropRest, prepareAnswer} from './requestRest.js';

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
  readonly request: IncomingMessage;
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
 * Refuses a request, unless it was answered while it was read, and drops its
 * body, as far as it was not read.
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
  prepareAnswer(request, response);
  protocol.refuse(response, refusal, requestId, {});
  dropRest(request, response);
  metrics.increment('calls.refused', {reason});
  logger.debug('call refused', {requestId, reason});
}
