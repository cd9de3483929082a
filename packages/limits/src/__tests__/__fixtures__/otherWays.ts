// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Two other ways to keep a limit, each at its best, to compare the pools with. */

import {seededRandom} from '@lockpin/utils';
import {mostInWindow, tokenCapacity} from '../../rateLimit.js';
import type {LimitRules} from '../../rateLimit.js';
import type {PlayedCustomer} from './limitWorld.js';

/** What became of a customer's calls. */
export interface WayResult {
  /** Part of the calls that were refused. */
  readonly refused: number;
  /** Calls of the fullest window, of those that the rules allow. */
  readonly fullest: number;
}

interface Arrival {
  readonly at: number;
  readonly box: number;
}

/** Each box has an equal part of the limit, and of the tokens that may exist. */
export function equalShares(
  customer: PlayedCustomer,
  rules: LimitRules,
  boxes: number,
  seed: number,
): WayResult {
  const {limit} = customer;
  const capacity = tokenCapacity(limit, rules) / boxes;
  const perMillisecond = limit.callsPerSecond / 1000 / boxes;
  const stores = new Map<number, {tokens: number; at: number}>();
  return play(customer, rules, seed, ({at, box}) => {
    const store = stores.get(box) ?? {tokens: capacity, at: 0};
    const made = (at - store.at) * perMillisecond;
    const tokens = Math.min(capacity, store.tokens + made);
    const isAdmitted = tokens >= 1;
    stores.set(box, {tokens: isAdmitted ? tokens - 1 : tokens, at});
    return isAdmitted;
  });
}

/** All boxes know how often the customer called until a while ago. */
export function countingAfter(
  customer: PlayedCustomer,
  rules: LimitRules,
  delayMilliseconds: number,
  seed: number,
): WayResult {
  const {callsPerSecond, burst} = customer.limit;
  const {windowMilliseconds} = rules;
  const allowed = (callsPerSecond * windowMilliseconds) / 1000 + burst;
  const admitted: number[] = [];
  return play(customer, rules, seed, ({at}) => {
    const known = admitted.filter(
      (time) => time > at - windowMilliseconds && time < at - delayMilliseconds,
    );
    const isAdmitted = known.length < allowed;
    if (isAdmitted) {
      admitted.push(at);
    }
    return isAdmitted;
  });
}

/** Time in which a customer calls. */
const PLAYED_MILLISECONDS = 20_000;

function play(
  customer: PlayedCustomer,
  rules: LimitRules,
  seed: number,
  isAdmitted: (arrival: Arrival) => boolean,
): WayResult {
  const random = seededRandom(seed);
  const admitted: number[] = [];
  let calls = 0;
  let at = 0;
  while (at < PLAYED_MILLISECONDS) {
    at -= (Math.log(1 - random()) * 1000) / customer.callsPerSecond;
    calls += 1;
    if (isAdmitted({at, box: Math.floor(random() * customer.boxes)})) {
      admitted.push(at);
    }
  }
  const most = fullestWindow(admitted, rules.windowMilliseconds);
  return {
    refused: 1 - admitted.length / calls,
    fullest: most / mostInWindow(customer.limit, rules),
  };
}

/** The most of some times, in rising order, that any window of a length holds. */
export function fullestWindow(
  times: readonly number[],
  windowMilliseconds: number,
): number {
  let most = 0;
  let first = 0;
  times.forEach((at, i) => {
    while (at - (times[first] ?? at) > windowMilliseconds) {
      first += 1;
    }
    most = Math.max(most, i - first + 1);
  });
  return most;
}
