// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Counters, gauges and latency histograms in Prometheus text format, with
 * prom-client.
 */

import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {MetricName, MetricTags, NodeMetrics} from './metrics.js';

/** Upper bounds of the latency buckets, in milliseconds. */
const LATENCY_BUCKETS = [
  1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 800, 1200, 2000, 3000, 5000,
];

/** Metrics that can be exported as text. */
export interface TextMetrics extends NodeMetrics {
  readonly text: () => Promise<string>;
}

/** Creates the metrics of one process. */
export function createPrometheusMetrics(): TextMetrics {
  const registry = new Registry();
  const counters = new Map<MetricName, Counter>();
  const gauges = new Map<MetricName, Gauge>();
  const histograms = new Map<MetricName, Histogram>();
  const options = (name: MetricName, tags: MetricTags) => ({
    name: `lockpin_${name.replaceAll('.', '_')}`,
    help: `See docs/reference/metrics.md: ${name}.`,
    labelNames: Object.keys(tags),
    registers: [registry],
  });
  const count = (name: MetricName, amount: number, tags: MetricTags) => {
    const counter = counters.get(name) ?? new Counter(options(name, tags));
    counters.set(name, counter);
    counter.inc(tags, amount);
  };
  return {
    increment: (name, tags = {}) => count(name, 1, tags),
    count: (name, amount, tags = {}) => count(name, amount, tags),
    timing: (name, milliseconds, tags = {}) => {
      const histogram =
        histograms.get(name) ??
        new Histogram({...options(name, tags), buckets: LATENCY_BUCKETS});
      histograms.set(name, histogram);
      histogram.observe(tags, milliseconds);
    },
    gauge: (name, value, tags = {}) => {
      const gauge = gauges.get(name) ?? new Gauge(options(name, tags));
      gauges.set(name, gauge);
      gauge.set(tags, value);
    },
    text: () => registry.metrics(),
    close: () => registry.clear(),
  };
}
