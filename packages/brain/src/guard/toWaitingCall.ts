// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Conversion of a guard's call for admission. */

import type {Precedence, WaitingCall} from '@lockpin/admission';
import type {GuardCall} from './guardCall.js';

/** The order of a call among those of its priority in a declared fleet. */
export function precedenceOf({isNested, attempt}: GuardCall): Precedence {
  if (isNested === true) {
    return 'nested';
  }
  return attempt > 1 ? 'retry' : 'ordinary';
}

/** Selects the properties that decide when a call gets its slot. */
export function toWaitingCall(
  call: GuardCall,
  expectedMilliseconds: number | undefined,
  precedence: Precedence,
): WaitingCall {
  const {id, customer, weight, priority, mayWait} = call;
  const {deadline, usefulUntil, startBy} = call;
  return {
    id,
    customer,
    weight,
    priority,
    precedence,
    deadline,
    usefulUntil,
    startBy,
    mayWait,
    expectedMilliseconds,
  };
}
