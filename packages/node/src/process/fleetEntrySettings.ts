// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Entry settings of a declared fleet. */

import {UNSENT_REFUSALS} from '@lockpin/brain';
import type {EntrySettings} from '@lockpin/brain';
import {
  UNLIMITED_RETRIES,
  chooseByScore,
  chooseByScoreWith,
  isInOwnDataCentre,
} from '@lockpin/routing';
import type {MechanismSwitch} from './mechanisms.js';

/**
 * Number of upstreams of a service that an entry uses. Local: all upstreams
 * that a service currently has in a data centre, so that their entries share
 * its load. Remote: enough as an alternative when the local ones are full.
 */
const SUBSET_SIZES = {local: 16, remote: 8} as const;

/** Offers that require a free slot, made before offers that may be queued. */
const OFFERS_PER_TERMS = 3;

/**
 * First pause between rounds of offers, after which a slot may be free; it
 * doubles.
 */
const PAUSE_MILLISECONDS = 30;

/**
 * Share of its time for which a call without a slot is held. It is then refused
 * with a retry delay before half of its time is over, so that its caller can
 * still retry.
 */
const HELD_SHARE = 0.45;

/**
 * Share of its latency goal after which a call that neither runs nor waits in a
 * queue is refused: what has found no slot by then would be late.
 */
const HELD_GOAL_SHARE = 0.25;

/**
 * Longer than a round trip between data centres plus the response time of a
 * slow box.
 */
const ACKNOWLEDGEMENT_TIMEOUT_MILLISECONDS = 80;

/** Maximum number of reroutes; each delays the caller by a round trip. */
const MAXIMUM_REROUTES = 8;

/**
 * Offers are acknowledged within a round trip, so one missing reply is
 * sufficient.
 */
const LINK_AVOIDANCE = {
  failuresToAvoid: 1,
  firstAvoidanceMilliseconds: 500,
  longestAvoidanceMilliseconds: 4000,
} as const;

/**
 * Returns the settings of entries whose guards reserve slots and budget
 * retries.
 */
export function fleetEntrySettings(
  isOn: MechanismSwitch,
  fleet: Pick<EntrySettings, 'quarantinedFor'> &
    Partial<Pick<EntrySettings, 'ownHint'>>,
): EntrySettings {
  const plansOffers = isOn('shared-capacity') && isOn('planned-offers');
  return {
    choose: isOn('near-first')
      ? chooseByScore
      : chooseByScoreWith({otherDataCentre: 0}),
    plansOffers,
    fundsRetries: isOn('funded-retries'),
    isNear: isOn('near-first') ? isInOwnDataCentre : () => true,
    ownHint: fleet.ownHint ?? (() => undefined),
    subsetSizes: SUBSET_SIZES,
    linkAvoidance: LINK_AVOIDANCE,
    createRetryBudget: () => UNLIMITED_RETRIES,
    initialTerms: 'immediate',
    offersPerTerms: OFFERS_PER_TERMS,
    acknowledgementTimeoutMilliseconds: ACKNOWLEDGEMENT_TIMEOUT_MILLISECONDS,
    pauseMilliseconds: isOn('holding') ? PAUSE_MILLISECONDS : 0,
    heldShare: HELD_SHARE,
    heldGoalShare: isOn('bounded-holding')
      ? HELD_GOAL_SHARE
      : Number.POSITIVE_INFINITY,
    boundsHolding: plansOffers && isOn('bounded-holding'),
    spreadsReturns: isOn('spread-returns'),
    maximumReroutes: MAXIMUM_REROUTES,
    freeRerouteRefusals: UNSENT_REFUSALS,
    quarantinedFor: fleet.quarantinedFor,
    hedgesOverdue: isOn('overdue-replacement'),
    offersLate: isOn('late-offers'),
    explores: isOn('exploration'),
  };
}
