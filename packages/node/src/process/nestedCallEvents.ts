// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Events for the guard about the ends of its box's nested calls. */

import {NESTED_SHORTAGE_REFUSALS} from '@lockpin/brain';
import type {GuardEvent, NestedCallEnd} from '@lockpin/brain';
import type {RefusalReason} from '@lockpin/types';
import {FIRST_SERVER_ERROR_STATUS} from '@lockpin/utils';
import type {CallRecord} from '../request/attemptHistory.js';

type NestedCallEnded = GuardEvent & {readonly kind: 'nested-call-ended'};

/** The event for the end of a nested call; undefined for other calls. */
export function nestedCallEnded(
  record: CallRecord,
): NestedCallEnded | undefined {
  const {nested, service} = record;
  return (
    nested && {
      kind: 'nested-call-ended',
      parentRequestId: nested.parent,
      service,
      priority: nested.priority,
      end: endOf(record),
      retryAfterMilliseconds: record.retryAfterMilliseconds,
    }
  );
}

function endOf({outcome, reason, status}: CallRecord): NestedCallEnd {
  if (outcome === 'answered') {
    return status < FIRST_SERVER_ERROR_STATUS ? 'served' : 'failed';
  }
  if (outcome === 'caller-left') {
    return 'given-up';
  }
  const lacksCapacity = NESTED_SHORTAGE_REFUSALS.has(reason as RefusalReason);
  return outcome === 'not-run' && lacksCapacity ? 'no-capacity' : 'failed';
}
