// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How the entries of a declared fleet offer calls, and what pays for retries. */

import {UNSENT_REFUSALS} from '@lockpin/brain';
import type {EntrySettings} from '@lockpin/brain';
import {WindowedRetryBudget, chooseByScore} from '@lockpin/routing';
import type {FleetRetryLimit} from './fleetPorts.js';

/**
 * Part of the fleet's retries that its entries use. The rest covers the share of
 * calls that an entry which starts anew may spend a second time: it does not know
 * what its box has spent, and does without the extra alone for a window. Calls that
 * upstreams make for a repeat are counted, see mayBeRepeat, and need no margin.
 */
const RETRY_SHARE = 0.85;

/**
 * Nearby, every upstream that a service has in a data centre of today, so that
 * their entries share its load; far, enough to go to when those are full.
 */
const SUBSET_SIZES = {local: 16, remote: 8} as const;

/** Offers that ask for a free slot at once, then some that may wait. */
const OFFERS_ON_EACH_TERMS = 3;

/** A slot frees within the time that calls take; the pause doubles. */
const PAUSE_MILLISECONDS = 30;

/**
 * Held longer in vain, a call had better be told when to come back: before half
 * of its time is over, its caller can still try again.
 */
const HELD_SHARE = 0.45;

/** Round trips between data centres take 3 ms; a slow box answers in 50. */
const SILENCE_MILLISECONDS = 80;

/** Offers in all; each costs a round trip, and the caller waits meanwhile. */
const MOST_REROUTES = 8;

/** An offer is answered in a round trip, so one silence is reason enough. */
const LINK_PATIENCE = {
  failuresToAvoid: 1,
  firstAvoidanceMilliseconds: 500,
  longestAvoidanceMilliseconds: 4000,
} as const;

/** What an entry has to know of its fleet. */
export interface EntryFleet {
  /** When this process started, by its clock. */
  readonly startedAt: number;
  /** No earlier process of this box can have spent retries. */
  readonly isFirstStart: boolean;
  /** May change while the process runs. */
  readonly retries: () => FleetRetryLimit;
  /** Boxes that are known now, which share the retries of the fleet. */
  readonly boxes: () => number;
}

/** The settings of an entry whose guards reserve slots. */
export function fleetEntrySettings(fleet: EntryFleet): EntrySettings {
  return {
    choose: chooseByScore,
    subsetSizes: SUBSET_SIZES,
    linkPatience: LINK_PATIENCE,
    createBudget: () => createBudget(fleet),
    firstTerms: 'immediate',
    offersOnEachTerms: OFFERS_ON_EACH_TERMS,
    silenceMilliseconds: SILENCE_MILLISECONDS,
    pauseMilliseconds: PAUSE_MILLISECONDS,
    heldShare: HELD_SHARE,
    mostReroutes: MOST_REROUTES,
    freeRefusals: UNSENT_REFUSALS,
    replacesOverdue: true,
  };
}

function createBudget(fleet: EntryFleet): WindowedRetryBudget {
  return new WindowedRetryBudget((now) => {
    const {ratio, windowMilliseconds, extra} = fleet.retries();
    const mayHaveSpent =
      !fleet.isFirstStart && now - fleet.startedAt < windowMilliseconds;
    const ownExtra = extra / Math.max(1, fleet.boxes());
    return {
      ratio: ratio * RETRY_SHARE,
      windowMilliseconds,
      extra: mayHaveSpent ? 0 : ownExtra * RETRY_SHARE,
    };
  });
}
