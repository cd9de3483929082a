// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** When an entry keeps calls away from one upstream. */

import type {LinkAvoidanceSettings} from './linkAvoidance.js';
import type {UpstreamLoad} from './upstreamLoad.js';

/** First pause after a guard reported that it has no such upstream. */
const FIRST_MISSING_MILLISECONDS = 300;

/** The longest such pause. */
const LONGEST_MISSING_MILLISECONDS = 5000;

/**
 * The guard has no such upstream: its box has lost it, or has not received it
 * yet after a restart. It is tried again after exponentially growing pauses.
 * Reports on offers that were made before a pause do not prolong it.
 */
export function avoidMissing(
  load: UpstreamLoad,
  now: number,
  offeredAt: number,
): void {
  if (now < load.refusesUntil || offeredAt < load.avoidedSince) {
    return;
  }
  const pause = Math.min(
    LONGEST_MISSING_MILLISECONDS,
    FIRST_MISSING_MILLISECONDS * 2 ** load.consecutiveMisses,
  );
  load.consecutiveMisses += 1;
  load.avoidedSince = now;
  load.refusesUntil = now + pause;
  load.refusesProbesUntil = now + pause;
}

/**
 * The guard did not respond. Failures of offers that were made before it was
 * avoided do not count again, even if they end later.
 */
export function avoidSilent(
  load: UpstreamLoad,
  avoidance: LinkAvoidanceSettings,
  now: number,
  random: number,
  offeredAt: number,
): void {
  if (now < load.unreachableUntil || offeredAt < load.avoidedSince) {
    return;
  }
  load.linkFailures += 1;
  const repeats = load.linkFailures - avoidance.failuresToAvoid;
  if (repeats < 0) {
    return;
  }
  const pause = Math.min(
    avoidance.longestAvoidanceMilliseconds,
    avoidance.firstAvoidanceMilliseconds * 2 ** repeats,
  );
  load.avoidedSince = now;
  load.unreachableUntil = now + pause * (0.5 + random);
}

/**
 * Whether an entry sends no calls for now. A repeatable call may be used to
 * probe a doubted upstream.
 */
export function isAvoided(
  {refusesUntil, refusesProbesUntil, unreachableUntil}: UpstreamLoad,
  now: number,
  mayProbe: boolean,
): boolean {
  const refuses = mayProbe ? refusesProbesUntil : refusesUntil;
  return Math.max(refuses, unreachableUntil) > now;
}
