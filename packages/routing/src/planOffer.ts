// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Chooses where a call finds a slot soonest, from what is known of capacity. */

import {hasFreeSlot} from './capacityProspects.js';
import type {Prospect} from './capacityProspects.js';
import type {RoutingCandidate, RoutingContext} from './chooseUpstream.js';

/**
 * Random upstreams of which the one with most free slots is taken, beside that
 * of the own box. If all were compared, the calls of many entries would go to
 * the same one.
 */
const SAMPLED = 3;

/**
 * The upstream of the own box saves a round trip. It is preferred to others with
 * as many free slots, unless it has been busier than the mean of all lately.
 */
const OWN_BOX_SLOTS = 0.5;

/**
 * Upstreams with this share of their slots free serve a call equally well. Those
 * known to be idle must not get all calls.
 */
const ENOUGH_FREE_SHARE = 0.7;

/**
 * Share of the mean up to which the own box is preferred. At the mean itself,
 * upstreams on boxes without callers got half of their part of the calls.
 */
const OWN_BOX_BUSIER = 0.9;

/** Upstreams that are near: the entry's own data centre, or any. */
export type IsNear = (
  context: RoutingContext,
  candidate: RoutingCandidate,
) => boolean;

/** The own data centre comes first, since traffic to others is charged for. */
export const isInOwnDataCentre: IsNear = ({dataCentre}, candidate) =>
  candidate.dataCentre === dataCentre;

/** An upstream believed to have a free slot; undefined if there is none. */
export function chooseFree<T extends RoutingCandidate>(
  context: RoutingContext,
  prospects: readonly Prospect<T>[],
  isNear: IsNear,
): T | undefined {
  return nearFirst(context, prospects.filter(hasFreeSlot), isNear);
}

/**
 * An upstream where the wait is short and at most a limit in milliseconds, as
 * far as known. Others than near ones come first only if they have free slots
 * and the near ones have none.
 */
export function chooseQueue<T extends RoutingCandidate>(
  context: RoutingContext,
  prospects: readonly Prospect<T>[],
  isNear: IsNear,
  longestWait: number,
): T | undefined {
  const usable = prospects.filter(
    ({wait, expectedWait}) => (wait ?? expectedWait) <= longestWait,
  );
  return (
    chooseFree(context, usable, isNear) ?? nearFirst(context, usable, isNear)
  );
}

/** An upstream with many free slots or few waiting calls, known or not. */
export function chooseLeastOccupied<T extends RoutingCandidate>(
  context: RoutingContext,
  prospects: readonly Prospect<T>[],
  isNear: IsNear,
): T | undefined {
  return nearFirst(context, prospects, isNear);
}

function nearFirst<T extends RoutingCandidate>(
  context: RoutingContext,
  prospects: readonly Prospect<T>[],
  isNear: IsNear,
): T | undefined {
  const near = prospects.filter(({candidate}) => isNear(context, candidate));
  return freestOfSample(context, near.length > 0 ? near : prospects);
}

/**
 * The upstream with most free slots of a few random ones and that of the box.
 * What is known of most is old, so that the number of their free slots is drawn
 * from what it may be: else those known to be idle would get all calls.
 */
function freestOfSample<T extends RoutingCandidate>(
  context: RoutingContext,
  prospects: readonly Prospect<T>[],
): T | undefined {
  const {random, box} = context;
  let best: T | undefined;
  let mostFree = Number.NEGATIVE_INFINITY;
  const consider = (prospect: Prospect<T>): void => {
    const {candidate, free, uncertainty} = prospect;
    const drawn = free + uncertainty * (2 * random() - 1);
    const value =
      candidate.box === box
        ? Math.min(candidate.slots * ENOUGH_FREE_SHARE, free) +
          ownBoxSlots(context, prospect, prospects)
        : Math.min(candidate.slots * ENOUGH_FREE_SHARE, drawn);
    if (value > mostFree) {
      best = candidate;
      mostFree = value;
    }
  };
  const start = Math.floor(random() * prospects.length);
  const step = 1 + Math.floor(random() * (prospects.length - 1));
  for (let i = 0; i < Math.min(SAMPLED, prospects.length); i += 1) {
    consider(prospects[(start + i * step) % prospects.length] as Prospect<T>);
  }
  const own = prospects.find(({candidate}) => candidate.box === box);
  if (own !== undefined) {
    consider(own);
  }
  return best;
}

/** Slots by which the own box is preferred: callers are not spread evenly. */
function ownBoxSlots<T extends RoutingCandidate>(
  {loads}: RoutingContext,
  {candidate: {name}, occupation}: Prospect<T>,
  prospects: readonly Prospect<T>[],
): number {
  const sum = prospects.reduce((total, item) => total + item.occupation, 0);
  const average = loads.capacity.averageOccupation(name) ?? occupation;
  const mean = sum / prospects.length;
  return average <= mean * OWN_BOX_BUSIER ? OWN_BOX_SLOTS : 0;
}
