// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The clock of this process, for all that is measured from one moment to another. */

import {uptime} from 'node:os';
import {CountingClock} from './countingClock.js';
import type {GainListener} from './countingClock.js';

const CLOCK = new CountingClock({
  steady: () => performance.now(),
  timeOfDay: () => Date.now(),
  sinceBoot: () => uptime() * 1000,
});

/**
 * Milliseconds since 1970 as they were when the process started, plus the time
 * since. The time of day may be set meanwhile; a deadline must not move with it. Time in
 * which the machine was suspended counts.
 */
export function steadyClock(): number {
  return CLOCK.now();
}

/** Calls back with each suspension of this machine; returns what ends that. */
export function onClockGain(listener: GainListener): () => void {
  return CLOCK.onGain(listener);
}
