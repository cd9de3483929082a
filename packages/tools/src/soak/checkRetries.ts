// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Checks that the fleet stays within its retry budget in every window. */

import {createViolation} from './soakHistory.js';
import type {
  ArrivalRecord,
  SoakBounds,
  SoakHistory,
  Violation,
} from './soakHistory.js';

/** Returns at most one violation for each service. */
export function checkRetries(
  {calls, arrivals}: SoakHistory,
  bounds: SoakBounds,
): readonly Violation[] {
  const services = [...new Set(arrivals.map(({service}) => service))];
  return services.flatMap((service) => {
    const sent = calls
      .filter((call) => call.service === service)
      .map(({sentAt}) => sentAt);
    const serviceArrivals = arrivals.filter(
      (arrival) => arrival.service === service,
    );
    const excess = findExcess(sent, repeatTimes(serviceArrivals), bounds);
    return excess === undefined
      ? []
      : [createViolation('retry budget', service, excess)];
  });
}

/** Times at which requests reached an upstream again. */
function repeatTimes(arrivals: readonly ArrivalRecord[]): readonly number[] {
  const seen = new Set<string>();
  const times: number[] = [];
  for (const {requestId, at} of [...arrivals].sort((a, b) => a.at - b.at)) {
    if (seen.has(requestId)) {
      times.push(at);
    }
    seen.add(requestId);
  }
  return times;
}

/** Checks windows that end or start with a retry; returns the first excess. */
function findExcess(
  sent: readonly number[],
  repeated: readonly number[],
  {retryRatio, retryExtra, retryWindowMilliseconds}: SoakBounds,
): string | undefined {
  const ending = (end: number) => (at: number) =>
    at <= end && at > end - retryWindowMilliseconds;
  const starting = (start: number) => (at: number) =>
    at >= start && at < start + retryWindowMilliseconds;
  for (const inWindow of repeated.flatMap((at) => [ending(at), starting(at)])) {
    const count = repeated.filter(inWindow).length;
    const limit = sent.filter(inWindow).length * retryRatio + retryExtra;
    if (count > limit) {
      return `${count} retries in a window, allowed ${limit.toFixed(1)}`;
    }
  }
  return undefined;
}
