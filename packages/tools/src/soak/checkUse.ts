// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Checks that a service uses its healthy upstreams while calls fail. */

import {isUndisrupted} from './isUndisrupted.js';
import {createViolation, isServed} from './soakHistory.js';
import type {
  SoakBounds,
  SoakHistory,
  UpstreamPeriod,
  Violation,
} from './soakHistory.js';

/** Length of the windows in which calls and arrivals are counted. */
const WINDOW_MILLISECONDS = 2000;

const STEP_MILLISECONDS = 250;

/** Share of the healthy upstreams that must get a call in each window. */
const MINIMUM_USED_SHARE = 0.7;

/** The check applies while the share of calls not served is in this range. */
const MINIMUM_FAILED_SHARE = 0.1;
const MAXIMUM_FAILED_SHARE = 0.5;

/** With fewer calls in a window chance decides which upstreams get one. */
const MINIMUM_CALLS_PER_UPSTREAM = 4;

/** The part of a history that the check uses. */
export type UseHistory = Pick<
  SoakHistory,
  'calls' | 'arrivals' | 'disruptions' | 'limits' | 'upstreams'
>;

/** At most one violation for each service. */
export function checkUse(
  history: UseHistory,
  bounds: Pick<SoakBounds, 'settleMilliseconds'>,
): readonly Violation[] {
  const services = [...new Set(history.upstreams.map((item) => item.service))];
  return services.flatMap((service) => {
    const times = history.calls
      .filter((call) => call.service === service)
      .map(({sentAt}) => sentAt);
    const last = Math.max(...times) - WINDOW_MILLISECONDS;
    for (
      let from = Math.min(...times);
      from <= last;
      from += STEP_MILLISECONDS
    ) {
      const problem = unusedUpstreams(history, bounds, service, from);
      if (problem !== undefined) {
        return [createViolation('upstreams in use', service, problem)];
      }
    }
    return [];
  });
}

function unusedUpstreams(
  history: UseHistory,
  {settleMilliseconds}: Pick<SoakBounds, 'settleMilliseconds'>,
  service: string,
  from: number,
): string | undefined {
  const until = from + WINDOW_MILLISECONDS;
  const calls = history.calls.filter(
    (call) =>
      call.service === service && call.sentAt >= from && call.sentAt < until,
  );
  const failed = calls.filter(({end}) => !isServed(end)).length;
  const healthy = history.upstreams.filter(
    (upstream) =>
      upstream.service === service &&
      isHealthy(history, upstream, from - settleMilliseconds, until),
  );
  const isChecked =
    failed > calls.length * MINIMUM_FAILED_SHARE &&
    failed < calls.length * MAXIMUM_FAILED_SHARE &&
    calls.length >= healthy.length * MINIMUM_CALLS_PER_UPSTREAM;
  if (!isChecked) {
    return undefined;
  }
  const called = new Set(
    history.arrivals
      .filter(({at}) => at >= from && at < until)
      .map(({lifetime}) => lifetime),
  );
  const used = healthy.filter(({lifetime}) => called.has(lifetime)).length;
  return used < healthy.length * MINIMUM_USED_SHARE
    ? `${used} of ${healthy.length} healthy ones got calls from ${from} on, while ${failed} of ${calls.length} failed`
    : undefined;
}

function isHealthy(
  {disruptions, limits}: UseHistory,
  {lifetime, box, readyFrom, readyUntil}: UpstreamPeriod,
  from: number,
  until: number,
): boolean {
  const isLimited = limits.some(
    (limit) =>
      limit.lifetime === lifetime && limit.from < until && limit.until > from,
  );
  return (
    readyFrom <= from &&
    readyUntil >= until &&
    !isLimited &&
    isUndisrupted(disruptions, box, from, until)
  );
}
