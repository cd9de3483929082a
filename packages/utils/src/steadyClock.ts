// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The monotonic clock of this process, for durations and deadlines. */

import {uptime} from 'node:os';
import {SuspendAwareClock} from './suspendAwareClock.js';
import type {SuspensionListener} from './suspendAwareClock.js';

const CLOCK = new SuspendAwareClock({
  steady: () => performance.now(),
  timeOfDay: () => Date.now(),
  sinceBoot: () => uptime() * 1000,
});

/**
 * Returns the time of day at the start of the process, in milliseconds since
 * 1970, plus the time elapsed since. Deadlines must not move when the time of
 * day is set. Includes time for which the machine was suspended.
 */
export function steadyClock(): number {
  return CLOCK.now();
}

/**
 * Subscribes to suspensions of this machine; returns a function that
 * unsubscribes.
 */
export function onSuspension(listener: SuspensionListener): () => void {
  return CLOCK.onSuspension(listener);
}
