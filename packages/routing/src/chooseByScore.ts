// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Chooses the upstream with the lowest estimated cost for a call. */

import type {
  ChooseUpstream,
  RoutingCandidate,
  RoutingContext,
} from './chooseUpstream.js';

/** Costs added for properties of an upstream, in units of its occupation. */
export interface CandidateCosts {
  readonly otherDataCentre: number;
  readonly otherBox: number;
  readonly cold: number;
  readonly avoided: number;
}

/**
 * Default costs, in units of occupation (1 is all slots taken). They rank the
 * alternatives; they are not estimates of latency.
 */
const DEFAULT_COSTS: CandidateCosts = {
  /**
   * Traffic between data centres is charged for. Slightly less than all slots,
   * so that a call leaves its data centre only when no upstream there has room.
   */
  otherDataCentre: 0.9,
  /** A round trip and one more process to depend on. */
  otherBox: 0.1,
  /** A cold upstream takes about twice as long. */
  cold: 0.4,
  /** Its guard recently refused a call or did not respond. */
  avoided: 10,
};

/** Random share of a cost, so that entries choose differently. */
const NOISE = 0.2;

/** Takes the candidate with the lowest cost. */
export const chooseByScore: ChooseUpstream = (context, candidates) =>
  lowestCost(DEFAULT_COSTS, context, candidates);

/** Creates a chooser by score with some of the costs replaced. */
export function chooseByScoreWith(
  costs: Partial<CandidateCosts>,
): ChooseUpstream {
  const all = {...DEFAULT_COSTS, ...costs};
  return (context, candidates) => lowestCost(all, context, candidates);
}

function lowestCost<T extends RoutingCandidate>(
  costs: CandidateCosts,
  context: RoutingContext,
  candidates: readonly T[],
): T | undefined {
  const means = meanByDataCentre(context, candidates);
  let best: T | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const mean = means.get(candidate.dataCentre) ?? 0;
    const cost =
      costOf(costs, context, candidate, mean) + NOISE * context.random();
    if (cost < bestCost) {
      bestCost = cost;
      best = candidate;
    }
  }
  return best;
}

function costOf(
  costs: CandidateCosts,
  context: RoutingContext,
  candidate: RoutingCandidate,
  mean: number,
): number {
  const {loads, now} = context;
  const {name, slots, dataCentre, box, coldUntil} = candidate;
  let cost = loads.occupation(name, slots, now, mean);
  cost += dataCentre === context.dataCentre ? 0 : costs.otherDataCentre;
  cost += box === context.box ? 0 : costs.otherBox;
  cost += now < coldUntil ? costs.cold : 0;
  cost += loads.isAvoided(name, now, context.mayProbe) ? costs.avoided : 0;
  return cost;
}

/** Mean known occupation of the candidates in each data centre. */
function meanByDataCentre(
  {loads, now}: RoutingContext,
  candidates: readonly RoutingCandidate[],
): ReadonlyMap<string, number> {
  const names = new Map<string, string[]>();
  for (const {name, dataCentre} of candidates) {
    const upstreams = names.get(dataCentre) ?? [];
    upstreams.push(name);
    names.set(dataCentre, upstreams);
  }
  return new Map(
    [...names].map(([dataCentre, upstreams]) => [
      dataCentre,
      loads.meanOccupation(upstreams, now),
    ]),
  );
}
