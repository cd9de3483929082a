// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Chooses the upstream that is expected to start a call first. */

import type {
  ChooseUpstream,
  RoutingCandidate,
  RoutingContext,
} from './chooseUpstream.js';

/** Costs by what an upstream is like. */
export interface CandidateCosts {
  readonly otherDataCentre: number;
  readonly otherBox: number;
  readonly cold: number;
  readonly avoided: number;
}

/**
 * What makes an upstream less attractive, in units of its occupation (1 is all
 * slots taken). The figures order the alternatives rather than measure them.
 */
const COST: CandidateCosts = {
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
};

/** Spreads the choices of entries that know the same, in the same units. */
const NOISE = 0.2;

/** Takes the candidate with the lowest cost. */
export const chooseByScore: ChooseUpstream = (context, candidates) =>
  cheapest(COST, context, candidates);

/** The same with some costs of its own. */
export function chooseByScoreWith(
  costs: Partial<CandidateCosts>,
): ChooseUpstream {
  const all = {...COST, ...costs};
  return (context, candidates) => cheapest(all, context, candidates);
}

function cheapest<T extends RoutingCandidate>(
  costs: CandidateCosts,
  context: RoutingContext,
  candidates: readonly T[],
): T | undefined {
  const usual = usualByDataCentre(context, candidates);
  let best: T | undefined;
  let lowest = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const expected = usual.get(candidate.dataCentre) ?? 0;
    const cost =
      costOf(costs, context, candidate, expected) + NOISE * context.random();
    if (cost < lowest) {
      lowest = cost;
      best = candidate;
    }
  }
  return best;
}

function costOf(
  costs: CandidateCosts,
  context: RoutingContext,
  candidate: RoutingCandidate,
  usual: number,
): number {
  const {loads, now} = context;
  const {name, slots, dataCentre, box, coldUntil} = candidate;
  let cost = loads.occupation(name, slots, now, usual);
  cost += dataCentre === context.dataCentre ? 0 : costs.otherDataCentre;
  cost += box === context.box ? 0 : costs.otherBox;
  cost += now < coldUntil ? costs.cold : 0;
  cost += loads.isAvoided(name, now, context.mayProbe) ? costs.avoided : 0;
  return cost;
}

/** How occupied the candidates of each data centre are, as far as that is known. */
function usualByDataCentre(
  {loads, now}: RoutingContext,
  candidates: readonly RoutingCandidate[],
): ReadonlyMap<string, number> {
  const names = new Map<string, string[]>();
  for (const {name, dataCentre} of candidates) {
    const known = names.get(dataCentre) ?? [];
    known.push(name);
    names.set(dataCentre, known);
  }
  return new Map(
    [...names].map(([dataCentre, upstreams]) => [
      dataCentre,
      loads.usualOccupation(upstreams, now),
    ]),
  );
}
