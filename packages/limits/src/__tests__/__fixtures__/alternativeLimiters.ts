// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Two alternative rate limiters under ideal conditions, as a baseline for the
 * token pools.
 */

import {seededRandom} from '@lockpin/utils';
import {maximumInWindow, tokenCapacity} from '../../rateLimit.js';
import type {LimitRules} from '../../rateLimit.js';
import type {SimulatedCustomer} from './limitSimulation.js';

/** Outcomes of a customer's calls. */
export interface LimiterResult {
  /** Share of the calls that were refused. */
  readonly refused: number;
  /** Calls of the fullest window, relative to what the rules allow. */
  readonly peakWindowUse: number;
}

interface Arrival {
  readonly at: number;
  readonly box: number;
}

/**
 * Static shares: each box has an equal share of the limit and of the token
 * capacity.
 */
export function equalShares(
  customer: SimulatedCustomer,
  rules: LimitRules,
  boxes: number,
  seed: number,
): LimiterResult {
  const {limit} = customer;
  const capacity = tokenCapacity(limit, rules) / boxes;
  const perMillisecond = limit.callsPerSecond / 1000 / boxes;
  const stocks = new Map<number, {tokens: number; at: number}>();
  return simulate(customer, rules, seed, ({at, box}) => {
    const stock = stocks.get(box) ?? {tokens: capacity, at: 0};
    const accrued = (at - stock.at) * perMillisecond;
    const tokens = Math.min(capacity, stock.tokens + accrued);
    const isAdmitted = tokens >= 1;
    stocks.set(box, {tokens: isAdmitted ? tokens - 1 : tokens, at});
    return isAdmitted;
  });
}

/** Delayed counting: all boxes know the calls admitted until a while ago. */
export function delayedCounting(
  customer: SimulatedCustomer,
  rules: LimitRules,
  delayMilliseconds: number,
  seed: number,
): LimiterResult {
  const {callsPerSecond, burst} = customer.limit;
  const {windowMilliseconds} = rules;
  const allowed = (callsPerSecond * windowMilliseconds) / 1000 + burst;
  const admitted: number[] = [];
  return simulate(customer, rules, seed, ({at}) => {
    const visible = admitted.filter(
      (time) => time > at - windowMilliseconds && time < at - delayMilliseconds,
    );
    const isAdmitted = visible.length < allowed;
    if (isAdmitted) {
      admitted.push(at);
    }
    return isAdmitted;
  });
}

/** Simulated time. */
const SIMULATED_MILLISECONDS = 20_000;

function simulate(
  customer: SimulatedCustomer,
  rules: LimitRules,
  seed: number,
  isAdmitted: (arrival: Arrival) => boolean,
): LimiterResult {
  const random = seededRandom(seed);
  const admitted: number[] = [];
  let calls = 0;
  let at = 0;
  while (at < SIMULATED_MILLISECONDS) {
    at -= (Math.log(1 - random()) * 1000) / customer.callsPerSecond;
    calls += 1;
    if (isAdmitted({at, box: Math.floor(random() * customer.boxes)})) {
      admitted.push(at);
    }
  }
  const maximumCount = peakWindowCount(admitted, rules.windowMilliseconds);
  return {
    refused: 1 - admitted.length / calls,
    peakWindowUse: maximumCount / maximumInWindow(customer.limit, rules),
  };
}

/**
 * The largest number of the given ascending times that fall into any window of
 * the given length.
 */
export function peakWindowCount(
  times: readonly number[],
  windowMilliseconds: number,
): number {
  let maximumCount = 0;
  let first = 0;
  times.forEach((at, i) => {
    while (at - (times[first] ?? at) > windowMilliseconds) {
      first += 1;
    }
    maximumCount = Math.max(maximumCount, i - first + 1);
  });
  return maximumCount;
}
