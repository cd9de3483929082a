// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What an entry expects to find at each upstream of a service. */

import type {RoutingCandidate, RoutingContext} from './chooseUpstream.js';
import {FRESH_MILLISECONDS} from './fleetCapacity.js';
import type {CapacityReport} from './fleetCapacity.js';

/** Time constant of the exponential decay of the weight of a report. */
const DECAY_MILLISECONDS = 1000;

/**
 * A cold upstream takes about twice as long, so that this share of its slots
 * counts as taken.
 */
const COLD_OCCUPATION = 0.4;

/** With less than half of a slot free on average, most offers are refused. */
const MINIMUM_FREE_SLOTS = 0.5;

/** Total weight that a mean needs: about that of one recent report. */
const MINIMUM_TOTAL_WEIGHT = 0.15;

/** What an entry expects to find at one upstream. */
export interface Prospect<T extends RoutingCandidate = RoutingCandidate> {
  readonly candidate: T;
  /** Expected free slots; negative when calls wait. */
  readonly free: number;
  /**
   * How many slots more or less may be free, as a standard deviation: none when
   * just told, and that of independent arrivals without knowledge.
   */
  readonly uncertainty: number;
  /** Expected share of its slots that are taken; above 1 when calls wait. */
  readonly occupation: number;
  /**
   * Milliseconds until a usual call gets a slot, as its guard has just said;
   * undefined without knowledge that is new enough.
   */
  readonly wait: number | undefined;
  /** The same as expected from the free slots, however old the knowledge. */
  readonly expectedWait: number;
  /** Retries that its guard pays for; undefined when not known. */
  readonly retriesLeft: number | undefined;
}

/** Assesses the upstreams of a service; those known to refuse are left out. */
export function prospectsOf<T extends RoutingCandidate>(
  {now, loads}: RoutingContext,
  candidates: readonly T[],
  usualMilliseconds: number,
): readonly Prospect<T>[] {
  const reports = candidates.map(({name}) => loads.capacity.latest(name));
  const means = meanOccupations(now, candidates, reports);
  return candidates.flatMap((candidate, i) => {
    const report = reports[i];
    const fresh = isFresh(report, now) ? report : undefined;
    if (fresh?.isAccepting === false) {
      return [];
    }
    const {name, dataCentre, slots} = candidate;
    const mean = means.get(dataCentre) ?? 0;
    const outstanding = loads.outstanding(name);
    const limitedFor = loads.limitedFor(name, now);
    const load = expectedLoad(now, candidate, report, mean, outstanding);
    const {free} = load;
    const turn = usualMilliseconds / Math.max(1, slots);
    return {
      candidate,
      ...load,
      free: limitedFor > 0 ? Math.min(0, free) : free,
      wait: fresh && Math.max(knownWait(fresh, turn), limitedFor),
      expectedWait: Math.max((1 - free) * turn, limitedFor, 0),
      retriesLeft: fresh?.retriesLeft,
    };
  });
}

/** Whether an upstream is believed to have a free slot. */
export function hasFreeSlot({free}: Prospect): boolean {
  return free >= MINIMUM_FREE_SLOTS;
}

function isFresh(
  report: CapacityReport | undefined,
  now: number,
): report is CapacityReport {
  return report !== undefined && now - report.at <= FRESH_MILLISECONDS;
}

function weightOf({at}: CapacityReport, now: number): number {
  return Math.exp((at - now) / DECAY_MILLISECONDS);
}

/**
 * As a report ages, the expectation moves to the mean of the data centre: an
 * upstream without recent reports is assumed to be neither idle nor full.
 */
function expectedLoad(
  now: number,
  {slots, coldUntil}: RoutingCandidate,
  report: CapacityReport | undefined,
  mean: number,
  outstanding: number,
): Pick<Prospect, 'free' | 'uncertainty' | 'occupation'> {
  const weight = report === undefined ? 0 : weightOf(report, now);
  const {occupied = 0, limit: reported = slots} = report ?? {};
  const limit = Math.max(1, reported * weight + slots * (1 - weight));
  const cold = now < coldUntil ? COLD_OCCUPATION : 0;
  const meanTaken = mean * limit;
  const expected = occupied * weight + meanTaken * (1 - weight);
  const taken = Math.max(outstanding, expected);
  return {
    free: limit * (1 - cold) - taken,
    uncertainty: Math.sqrt(meanTaken) * (1 - weight),
    occupation: taken / limit,
  };
}

/** Calls that this entry has sent since may have taken the last free slot. */
function knownWait(
  {occupied, limit, slotIn}: CapacityReport,
  turn: number,
): number {
  return slotIn > 0 ? slotIn : Math.max(0, occupied + 1 - limit) * turn;
}

/** Mean known occupation of the upstreams of each data centre. */
function meanOccupations(
  now: number,
  candidates: readonly RoutingCandidate[],
  reports: readonly (CapacityReport | undefined)[],
): ReadonlyMap<string, number> {
  const sums = new Map<string, {sum: number; weights: number}>();
  candidates.forEach(({dataCentre}, i) => {
    const report = reports[i];
    if (report?.isAccepting === true) {
      const weight = weightOf(report, now);
      const known = sums.get(dataCentre) ?? {sum: 0, weights: 0};
      known.sum += (report.occupied / Math.max(1, report.limit)) * weight;
      known.weights += weight;
      sums.set(dataCentre, known);
    }
  });
  return new Map(
    [...sums].map(([name, {sum, weights}]) => [
      name,
      sum / Math.max(MINIMUM_TOTAL_WEIGHT, weights),
    ]),
  );
}
