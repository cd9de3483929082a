// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What one entry records about one upstream. */

import type {LoadHint} from './loadHint.js';

/** Time constant of the exponential decay of the weight of a report. */
const DECAY_MILLISECONDS = 1000;

/** A wait for this long counts like a queue with one call for each slot. */
const WAIT_PER_OCCUPATION_MILLISECONDS = 250;

/** Load and reachability of one upstream; times in milliseconds since 1970. */
export interface UpstreamLoad {
  outstanding: number;
  hint: LoadHint | undefined;
  hintedAt: number;
  /** Its guard refuses ordinary calls until then. */
  refusesUntil: number;
  /** Its guard, although draining, takes calls that end by then. */
  fallbackUntil: number;
  /** The limit that it states allows no call until then. */
  limitedUntil: number;
  /** Its guard refuses even repeatable calls as probes until then. */
  refusesProbesUntil: number;
  /** Its guard was unreachable and is not tried again until then. */
  unreachableUntil: number;
  /** When this entry last began to avoid the guard, or the upstream. */
  avoidedSince: number;
  linkFailures: number;
  /** Consecutive reports of its guard that it does not exist. */
  consecutiveMisses: number;
  /** Whether the last call of this entry that ran there went well. */
  lastCallSucceeded: boolean;
}

/** The record of an upstream that has not been called yet. */
export function createUpstreamLoad(): UpstreamLoad {
  return {
    outstanding: 0,
    hint: undefined,
    hintedAt: 0,
    refusesUntil: 0,
    fallbackUntil: 0,
    limitedUntil: 0,
    refusesProbesUntil: 0,
    unreachableUntil: 0,
    avoidedSince: Number.NEGATIVE_INFINITY,
    linkFailures: 0,
    consecutiveMisses: 0,
    lastCallSucceeded: true,
  };
}

/**
 * Occupation that stands for the wait until the limit of an upstream allows a
 * call: 1 for all slots taken, and more for a longer wait.
 */
export function limitOccupation(
  load: UpstreamLoad | undefined,
  now: number,
): number {
  const wait = (load?.limitedUntil ?? 0) - now;
  return wait > 0 ? 1 + wait / WAIT_PER_OCCUPATION_MILLISECONDS : 0;
}

/** Weight of a report of a time: 1 when it is new, decaying to 0. */
export function reportWeight(reportedAt: number, now: number): number {
  return Math.exp((reportedAt - now) / DECAY_MILLISECONDS);
}

/** Occupation that a hint reports; 1 when all slots are taken. */
export function hintedOccupation({occupied, limit}: LoadHint): number {
  return occupied / Math.max(1, limit);
}
