// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Metrics over statsd, documented in docs/reference/metrics.md. */

import hotShots from 'hot-shots';
import {parseAddress} from '@lockpin/utils';

/** Names of all metrics. */
export const METRIC_NAMES = [
  'addresses.waiting',
  'answers.blocked',
  'answers.bufferedBytes',
  'answers.cut',
  'calls.answered',
  'calls.refused',
  'calls.offers',
  'calls.milliseconds',
  'calls.nested',
  'capacity.freeSlots',
  'capacity.retriesLeft',
  'capacity.upstreams',
  'guard.calls',
  'guard.doubted',
  'guard.milliseconds',
  'guard.nestedBusy',
  'guard.notices',
  'guard.occupied',
  'guard.overLimit',
  'guard.rejected',
  'guard.retriesExhausted',
  'log.dropped',
  'upstream.concurrency',
  'upstream.ejected',
  'upstream.leaving',
  'upstream.limit',
  'upstream.retriesLeft',
  'configuration.version',
  'members.usable',
  'peer.bytes',
  'peer.renewed',
  'peer.violations',
  'announcements.refused',
  'readers.followed',
  'readers.heard',
  'records.wrong',
  'requests.suspected',
  'server.problems',
  'store.era',
  'store.newsAgeMilliseconds',
  'store.pollers',
  'store.reads',
  'store.restores',
] as const;

/** Name of a metric. */
export type MetricName = (typeof METRIC_NAMES)[number];

/** Labels of a measurement. */
export type MetricTags = Readonly<Record<string, string>>;

/** Records counters, timings and gauges. */
export interface NodeMetrics {
  readonly increment: (name: MetricName, tags?: MetricTags) => void;
  readonly count: (name: MetricName, amount: number, tags?: MetricTags) => void;
  readonly timing: (
    name: MetricName,
    milliseconds: number,
    tags?: MetricTags,
  ) => void;
  readonly gauge: (name: MetricName, value: number, tags?: MetricTags) => void;
  readonly close: () => void;
}

const NO_METRICS: NodeMetrics = {
  increment: () => undefined,
  count: () => undefined,
  timing: () => undefined,
  gauge: () => undefined,
  close: () => undefined,
};

/**
 * Creates metrics that are sent to a collector; they are discarded without an
 * address.
 */
export function createMetrics(address: string, box: string): NodeMetrics {
  const target = parseAddress(address);
  if (target === undefined) {
    return NO_METRICS;
  }
  const client = new hotShots.StatsD({
    host: target.host,
    port: target.port,
    prefix: 'lockpin.',
    globalTags: {box},
    errorHandler: () => undefined,
  });
  return {
    increment: (name, tags = {}) => client.increment(name, 1, tags),
    count: (name, amount, tags = {}) => client.increment(name, amount, tags),
    timing: (name, milliseconds, tags = {}) =>
      client.timing(name, milliseconds, tags),
    gauge: (name, value, tags = {}) => client.gauge(name, value, tags),
    close: () => client.close(),
  };
}
