// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Chooses the upstream that is expected to start a call first. */

import {stableHash} from '@lockpin/utils';
import type {RoutingCandidate, RoutingContext} from './chooseUpstream.js';

/**
 * What makes an upstream less attractive, in units of its occupation (1 is all
 * slots taken). The figures order the alternatives rather than measure them.
 */
const COST = {
  /**
   * Another data centre: bytes that are paid for. A little less than all slots, so that a
   * call goes there only when none near by has room for it.
   */
  otherDataCentre: 0.9,
  /** Another box: one round trip and one more process to depend on. */
  otherBox: 0.1,
  /** A cold upstream takes about twice as long. */
  cold: 0.4,
  /** Its guard refused or was silent a moment ago. */
  avoided: 10,
  /** The last in the order in which all entries fill upstreams. */
  lastInOrder: 0.6,
} as const;

/** Above this occupation an upstream is near its limit, and gets slower. */
const COMFORTABLE_OCCUPATION = 0.7;

/** Spreads the choices of entries that know the same, in the same units. */
const NOISE = 0.2;

/** Takes the candidate with the lowest cost. */
export function chooseByScore<T extends RoutingCandidate>(
  context: RoutingContext,
  candidates: readonly T[],
): T | undefined {
  let best: T | undefined;
  let lowest = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const cost = costOf(context, candidate) + NOISE * context.random();
    if (cost < lowest) {
      lowest = cost;
      best = candidate;
    }
  }
  return best;
}

function costOf(context: RoutingContext, candidate: RoutingCandidate): number {
  const {loads, now} = context;
  const {name, slots, dataCentre, box, coldUntil} = candidate;
  let cost = context.prefersFew
    ? costInOrder(loads.occupation(name, slots, now), name)
    : loads.occupation(name, slots, now);
  cost += dataCentre === context.dataCentre ? 0 : COST.otherDataCentre;
  cost += box === context.box ? 0 : COST.otherBox;
  cost += now < coldUntil ? COST.cold : 0;
  cost += loads.isAvoided(name, now, context.mayProbe) ? COST.avoided : 0;
  return cost;
}

/**
 * Fills upstreams one after the other, in an order that all entries share, and
 * each only as far as it is comfortable.
 */
function costInOrder(occupation: number, name: string): number {
  const place = stableHash(name) / LARGEST_HASH;
  const isCrowded = occupation > COMFORTABLE_OCCUPATION;
  return place * COST.lastInOrder + (isCrowded ? occupation : 0);
}

/** Hashes are whole numbers of 48 bits. */
const LARGEST_HASH = 2 ** 48;
