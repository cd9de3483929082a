// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Finds waiting calls whose turn is expected too late. */

import {isTooLateToWait} from './expectedWait.js';
import type {ExpectedWait} from './expectedWait.js';
import type {WaitingCall} from './waitingCall.js';

/**
 * A call leaves only if its wait would be too long even if it were shorter than
 * expected by this many standard deviations, as it is for about a quarter of the
 * calls. Calls that are expected to be barely in time would otherwise leave at
 * the next fluctuation, after having been held for nothing.
 */
const EARLY_DEVIATIONS = 2 / 3;

/** What is expected of the calls of an upstream. */
export interface Expectations {
  /** Expected duration of a call, in milliseconds. */
  readonly durationOf: (call: WaitingCall) => number;
  /** Expected wait until a turn; turns count from 1. */
  readonly waitFor: (turn: number, call: WaitingCall) => ExpectedWait;
}

/**
 * The waiting calls that have little chance of starting in time: more urgent
 * calls have come since, or the upstream has slowed down. A call that leaves
 * makes room for those behind it.
 */
export function hopelessCalls(
  now: number,
  inOrder: readonly WaitingCall[],
  {durationOf, waitFor}: Expectations,
): readonly WaitingCall[] {
  let turn = 1;
  return inOrder.filter((call) => {
    const expected = waitFor(turn, call);
    // Slots are freed at random: the deviation of the sum of equal waits.
    const deviation = expected.milliseconds / Math.sqrt(turn);
    const milliseconds = expected.milliseconds - EARLY_DEVIATIONS * deviation;
    const early = {...expected, milliseconds};
    const isHopeless = isTooLateToWait(now, call, durationOf(call), early);
    turn += isHopeless ? 0 : 1;
    return isHopeless;
  });
}
