// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The wait of a process that stops, for the calls it still has in flight. */

import {setTimeout as pause} from 'node:timers/promises';
import type {Clock} from '@lockpin/types';

/** Whether everything in flight finished before the limit. */
export type StopResult = 'finished' | 'limit-reached';

/** Milliseconds between looks at what is still in flight. */
const STOP_POLL_MILLISECONDS = 20;

/** What counts the calls in flight: a guard or an entry. */
export interface CallCounter {
  readonly callCount: number;
}

/** Waits until no calls are in flight, but not beyond the limit. */
export async function finishCalls(
  counters: readonly CallCounter[],
  clock: Clock,
  limit: number,
): Promise<StopResult> {
  const isBusy = (): boolean => counters.some(({callCount}) => callCount > 0);
  while (isBusy() && clock() < limit) {
    await pause(STOP_POLL_MILLISECONDS);
  }
  return isBusy() ? 'limit-reached' : 'finished';
}
