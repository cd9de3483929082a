// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How the entries of a declared fleet offer calls. */

import {UNSENT_REFUSALS} from '@lockpin/brain';
import type {EntrySettings} from '@lockpin/brain';
import {
  PAID_ELSEWHERE,
  chooseByScore,
  chooseByScoreWith,
} from '@lockpin/routing';
import type {MechanismSwitch} from './mechanisms.js';

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

/** Beyond a round trip between data centres and what a slow box takes to answer. */
const SILENCE_MILLISECONDS = 80;

/** Offers in all; each costs a round trip, and the caller waits meanwhile. */
const MOST_REROUTES = 8;

/** An offer is answered in a round trip, so one silence is reason enough. */
const LINK_PATIENCE = {
  failuresToAvoid: 1,
  firstAvoidanceMilliseconds: 500,
  longestAvoidanceMilliseconds: 4000,
} as const;

/** The settings of an entry whose guards reserve slots and pay for retries. */
export function fleetEntrySettings(
  isOn: MechanismSwitch,
  fleet: Pick<EntrySettings, 'quarantinedFor'>,
): EntrySettings {
  return {
    choose: isOn('near-first')
      ? chooseByScore
      : chooseByScoreWith({otherDataCentre: 0}),
    subsetSizes: SUBSET_SIZES,
    linkPatience: LINK_PATIENCE,
    createBudget: () => PAID_ELSEWHERE,
    firstTerms: 'immediate',
    offersOnEachTerms: OFFERS_ON_EACH_TERMS,
    silenceMilliseconds: SILENCE_MILLISECONDS,
    pauseMilliseconds: isOn('holding') ? PAUSE_MILLISECONDS : 0,
    heldShare: HELD_SHARE,
    mostReroutes: MOST_REROUTES,
    freeRefusals: UNSENT_REFUSALS,
    quarantinedFor: fleet.quarantinedFor,
    replacesOverdue: isOn('overdue-replacement'),
    offersLate: isOn('late-offers'),
  };
}
