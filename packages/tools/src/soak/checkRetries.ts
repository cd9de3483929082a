// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Whether the fleet kept its budget of retries in every window. */

import {broken} from './soakFacts.js';
import type {
  ArrivalFact,
  SoakBounds,
  SoakFacts,
  Violation,
} from './soakFacts.js';

/** Broken budgets, at most one for each service. */
export function checkRetries(
  {calls, arrivals}: SoakFacts,
  bounds: SoakBounds,
): readonly Violation[] {
  const services = [...new Set(arrivals.map(({service}) => service))];
  return services.flatMap((service) => {
    const sent = calls
      .filter((call) => call.service === service)
      .map(({sentAt}) => sentAt);
    const own = arrivals.filter((arrival) => arrival.service === service);
    const excess = worstExcess(sent, repeats(own), bounds);
    return excess === undefined
      ? []
      : [broken('retry budget', service, excess)];
  });
}

/** When requests reached an upstream a second time or later. */
function repeats(arrivals: readonly ArrivalFact[]): readonly number[] {
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

/** Looks at each window that ends with a repeat. */
function worstExcess(
  sent: readonly number[],
  repeated: readonly number[],
  {retryRatio, retryExtra, retryWindowMilliseconds}: SoakBounds,
): string | undefined {
  for (const end of repeated) {
    const inWindow = (at: number): boolean =>
      at <= end && at > end - retryWindowMilliseconds;
    const count = repeated.filter(inWindow).length;
    const limit = sent.filter(inWindow).length * retryRatio + retryExtra;
    if (count > limit) {
      return `${count} repeats in a window, of ${limit.toFixed(1)}`;
    }
  }
  return undefined;
}
