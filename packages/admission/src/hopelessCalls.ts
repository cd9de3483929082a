// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Finds waiting calls whose turn is expected too late. */

import {isTooLateToWait} from './expectedWait.js';
import type {ExpectedWait} from './expectedWait.js';
import type {WaitingCall} from './waitingCall.js';

/** What is expected of the calls of an upstream. */
export interface Expectations {
  /** Expected duration of a call, in milliseconds. */
  readonly durationOf: (call: WaitingCall) => number;
  /** Expected wait until a turn; turns count from 1. */
  readonly waitFor: (turn: number, call: WaitingCall) => ExpectedWait;
}

/**
 * The calls, out of those that wait, that would be refused if they arrived now
 * at their place in the queue: more urgent calls have come since, or the
 * upstream has slowed down. Calls that are left out make room for those behind.
 */
export function hopelessCalls(
  now: number,
  inOrder: readonly WaitingCall[],
  {durationOf, waitFor}: Expectations,
): readonly WaitingCall[] {
  let turn = 1;
  return inOrder.filter((call) => {
    const wait = waitFor(turn, call);
    const isHopeless = isTooLateToWait(now, call, durationOf(call), wait);
    turn += isHopeless ? 0 : 1;
    return isHopeless;
  });
}
