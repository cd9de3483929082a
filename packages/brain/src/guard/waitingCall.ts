// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A guard's call as admission sees it. */

import type {WaitingCall} from '@lockpin/admission';
import type {GuardCall} from './guardMessages.js';

/** Leaves out what has no bearing on when a call has its slot. */
export function waitingCall(
  call: GuardCall,
  expectedMilliseconds: number | undefined,
): WaitingCall {
  const {id, customer, weight, priority, mayWait} = call;
  const {deadline, usefulUntil, startBy} = call;
  return {
    id,
    customer,
    weight,
    priority,
    deadline,
    usefulUntil,
    startBy,
    mayWait,
    expectedMilliseconds,
  };
}
