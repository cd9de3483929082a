// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The time that a call would have to wait, and whether it can. */

import {isTooLateFor} from './waitingCall.js';
import type {WaitingCall} from './waitingCall.js';

/** Calls that wait for the limit start at the next tick of the guard. */
const START_DELAY_MILLISECONDS = 50;

/**
 * A call waits for the limit only if it is in time even if it takes this
 * multiple of its usual duration. While more calls come than the limit allows,
 * the queue is as long as it may be, and half of the calls would just be late.
 */
const LIMIT_DURATION_MARGIN = 1.5;

/** When a call can start, in milliseconds from now. */
export interface ExpectedWait {
  /** Infinite if it may never start. */
  readonly milliseconds: number;
  /** Whether the call waits for the stated limit rather than for a slot. */
  readonly isForLimit: boolean;
}

/** Whether a call of an expected duration would start too late. */
export function isTooLateToWait(
  now: number,
  call: WaitingCall,
  duration: number,
  {milliseconds, isForLimit}: ExpectedWait,
): boolean {
  const startAt = now + milliseconds;
  return isForLimit
    ? isTooLateFor(
        call,
        startAt + START_DELAY_MILLISECONDS,
        duration * LIMIT_DURATION_MARGIN,
      )
    : isTooLateFor(call, startAt, duration);
}
