// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a nested call inherits from the call that makes it. */

import type {CallKind, ParentCall} from '@lockpin/brain';
import {priorityWithoutLateness} from './attemptPriority.js';
import {shortName} from './callerExchange.js';
import type {CallerRequest} from './callerRequest.js';

/** The running call with a request id, which makes a call of this kind now. */
export type FindParentCall = (
  requestId: string,
  kind: CallKind,
) => ParentCall | undefined;

/**
 * Returns the call with the customer, weight and priority of its root and the
 * earlier of its own and its parent's deadline, if its parent runs on this box;
 * the unchanged call otherwise. A parent that is late does not make its nested
 * calls wait behind others, since its slot is held until they end.
 *
 * A call that shows a key comes from a caller, whose request ids prove nothing.
 */
export function nestedCall(
  arrivedAt: number,
  call: CallerRequest,
  findParent?: FindParentCall,
): CallerRequest {
  const {parentRequestId, keyOwner, waitMilliseconds, view, route} = call;
  if (parentRequestId === undefined || keyOwner !== undefined) {
    return {...call, parentRequestId: undefined};
  }
  const kind = {service: view.name, route: shortName(route.name)};
  const parent = findParent?.(parentRequestId, kind);
  if (parent === undefined) {
    return call;
  }
  const remaining = Math.max(0, parent.deadline - arrivedAt);
  return {
    ...call,
    customer: parent.customer,
    weight: parent.weight,
    priority: priorityWithoutLateness(parent.priority),
    waitMilliseconds: Math.min(waitMilliseconds, remaining),
    isNested: true,
  };
}
