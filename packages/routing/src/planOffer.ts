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

/** Up to this multiple of the mean an upstream counts as no busier. */
const OWN_BOX_BUSIER = 1.1;

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

/** The upstream with most free slots expected, known or not. */
export function chooseLeastOccupied<T extends RoutingCandidate>(
  context: RoutingContext,
  prospects: readonly Prospect<T>[],
): T | undefined {
  return freestOfSample(context, prospects);
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
  const rest = [...prospects];
  for (let i = 0; i < SAMPLED && rest.length > 0; i += 1) {
    rest.splice(Math.floor(random() * rest.length), 1).forEach(consider);
  }
  rest.filter(({candidate}) => candidate.box === box).forEach(consider);
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
