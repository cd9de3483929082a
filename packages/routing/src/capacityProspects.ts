// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What an entry expects to find at each upstream of a service. */

import type {RoutingCandidate, RoutingContext} from './chooseUpstream.js';
import {FRESH_MILLISECONDS, serviceOf} from './fleetCapacity.js';
import type {CapacityReport} from './fleetCapacity.js';
import {reportWeight} from './upstreamLoad.js';

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
   * just reported, and that of independent arrivals without knowledge.
   */
  readonly uncertainty: number;
  /** Expected share of its slots that are taken; above 1 when calls wait. */
  readonly occupation: number;
  /**
   * Milliseconds until a usual call gets a slot, as recently reported;
   * undefined without knowledge that is new enough.
   */
  readonly wait: number | undefined;
  /** The same as expected from the free slots, however old the knowledge. */
  readonly expectedWait: number;
}

/** Whether upstreams with a recent report are assessed. */
export type IsAssessed = (report: CapacityReport) => boolean;

const isAccepting: IsAssessed = (report) => report.isAccepting;

/**
 * Assesses upstreams of one service; those known to refuse ordinary calls are
 * left out unless the caller decides otherwise. Uses plain loops, since it runs
 * for every offer and, on a box that has just started, in code that is not
 * compiled yet.
 */
export function prospectsOf<T extends RoutingCandidate>(
  context: RoutingContext,
  candidates: readonly T[],
  usualMilliseconds: number,
  isAssessed: IsAssessed = isAccepting,
): readonly Prospect<T>[] {
  const {now, loads} = context;
  const service = serviceOf(candidates[0]?.name ?? '');
  const reports = loads.capacity.ofService(service);
  const means = meanOccupations(now, candidates, reports);
  const prospects: Prospect<T>[] = [];
  for (const candidate of candidates) {
    const report = reports.get(candidate.name);
    if (!isFresh(report, now) || isAssessed(report)) {
      const mean = means.get(candidate.dataCentre) ?? 0;
      prospects.push(
        prospectOf(context, candidate, report, mean, usualMilliseconds),
      );
    }
  }
  return prospects;
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

/**
 * As a report ages, the expectation moves to the mean of the data centre: an
 * upstream without recent reports is assumed to be neither idle nor full.
 */
function prospectOf<T extends RoutingCandidate>(
  {now, loads}: RoutingContext,
  candidate: T,
  report: CapacityReport | undefined,
  mean: number,
  usualMilliseconds: number,
): Prospect<T> {
  const {name, slots, coldUntil} = candidate;
  const weight = report === undefined ? 0 : reportWeight(report.at, now);
  const reported = report === undefined ? slots : report.limit;
  const limit = Math.max(1, reported * weight + slots * (1 - weight));
  const meanTaken = mean * limit;
  const expected =
    (report === undefined ? 0 : report.occupied) * weight +
    meanTaken * (1 - weight);
  const taken = Math.max(loads.outstanding(name), expected);
  const cold = now < coldUntil ? COLD_OCCUPATION : 0;
  const free = limit * (1 - cold) - taken;
  const limitedFor = loads.limitedFor(name, now);
  const turn = usualMilliseconds / Math.max(1, slots);
  return {
    candidate,
    free: limitedFor > 0 ? Math.min(0, free) : free,
    uncertainty: Math.sqrt(meanTaken) * (1 - weight),
    occupation: taken / limit,
    wait: isFresh(report, now)
      ? Math.max(knownWait(report, turn), limitedFor)
      : undefined,
    expectedWait: Math.max((1 - free) * turn, limitedFor, 0),
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
  reports: ReadonlyMap<string, CapacityReport>,
): ReadonlyMap<string, number> {
  const weights = new Map<string, number>();
  const means = new Map<string, number>();
  for (const {name, dataCentre} of candidates) {
    const report = reports.get(name);
    if (report !== undefined && report.isAccepting) {
      const weight = reportWeight(report.at, now);
      const occupation = report.occupied / Math.max(1, report.limit);
      const sum = (means.get(dataCentre) ?? 0) + occupation * weight;
      means.set(dataCentre, sum);
      weights.set(dataCentre, (weights.get(dataCentre) ?? 0) + weight);
    }
  }
  for (const [name, weight] of weights) {
    const total = Math.max(MINIMUM_TOTAL_WEIGHT, weight);
    means.set(name, (means.get(name) ?? 0) / total);
  }
  return means;
}
