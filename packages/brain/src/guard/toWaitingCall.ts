// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Conversion of a guard's call for admission. */

import type {WaitingCall} from '@lockpin/admission';
import type {GuardCall} from './guardMessages.js';

/** Selects the properties that decide when a call gets its slot. */
export function toWaitingCall(
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
