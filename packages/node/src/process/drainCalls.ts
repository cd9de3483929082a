// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Waits for calls in flight while a process stops. */

import {setTimeout as delay} from 'node:timers/promises';
import type {Clock} from '@lockpin/types';

/** Whether all calls in flight finished before the time limit. */
export type StopResult = 'finished' | 'limit-reached';

/** Time to send the last answers before connections are closed. */
export const LAST_ANSWERS_MILLISECONDS = 50;

/** Interval between checks for waiting calls that the stop comes too soon for. */
export const UNSTARTED_CHECK_MILLISECONDS = 50;

/** Interval between checks for calls in flight. */
const POLL_INTERVAL_MILLISECONDS = 20;

/** Counts calls in flight; implemented by guards and entries. */
export interface CallCounter {
  readonly callCount: number;
}

/** Waits until no calls are in flight or the clock reaches the limit. */
export async function drainCalls(
  counters: readonly CallCounter[],
  clock: Clock,
  limit: number,
): Promise<StopResult> {
  const isBusy = (): boolean => counters.some(({callCount}) => callCount > 0);
  while (isBusy() && clock() < limit) {
    await delay(POLL_INTERVAL_MILLISECONDS);
  }
  return isBusy() ? 'limit-reached' : 'finished';
}
