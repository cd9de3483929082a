// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Baseline statistics per kind of call, derived from the other upstreams. */

import type {CallSummary} from './callStatistics.js';

/** The statistics that an upstream is compared with. */
export interface PeerBaseline {
  /** By kind of call; ALL_CALLS stands for all kinds together. */
  readonly calls: Readonly<Record<string, CallSummary>>;
  /** Customers whose calls fail on several upstreams, so by their own fault. */
  readonly failingCustomers: readonly string[];
}

/** The key under which all kinds of call are counted together. */
export const ALL_CALLS = '*';

/** Summaries of fewer calls than this are too small to compare. */
export const MINIMUM_COMPARED_WEIGHT = 3;

/** Share of failed calls from which a customer is reported as failing. */
export const FAILING_CUSTOMER_SHARE = 0.3;

/** Statistics that the guard of one upstream reports for comparison. */
export interface PeerSummary {
  readonly calls: Readonly<Record<string, CallSummary>>;
  /** Customers with a high share of failed calls on this upstream. */
  readonly failingCustomers: readonly string[];
}

/** Medians over the peers, so that a few unhealthy ones do not skew them. */
export function peerBaseline(
  peers: readonly PeerSummary[],
  kinds: ReadonlySet<string>,
): PeerBaseline {
  const calls: Record<string, CallSummary> = {};
  for (const kind of kinds) {
    const summaries = peers.flatMap((peer) => {
      const summary = peer.calls[kind];
      return summary && summary.weight >= MINIMUM_COMPARED_WEIGHT
        ? [summary]
        : [];
    });
    if (summaries.length > 0) {
      calls[kind] = medianSummary(summaries);
    }
  }
  return {calls, failingCustomers: failingOnSeveral(peers)};
}

function medianSummary(summaries: readonly CallSummary[]): CallSummary {
  const timed = summaries.filter(
    ({typicalMilliseconds}) => typicalMilliseconds > 0,
  );
  return {
    weight: median(summaries.map(({weight}) => weight)),
    failedShare: median(summaries.map(({failedShare}) => failedShare)),
    slowShare: median(summaries.map(({slowShare}) => slowShare)),
    typicalMilliseconds: median(
      timed.map(({typicalMilliseconds}) => typicalMilliseconds),
    ),
  };
}

/** The median, or the lower of two middle values; 0 for an empty list. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

function failingOnSeveral(peers: readonly PeerSummary[]): readonly string[] {
  const counts = new Map<string, number>();
  for (const customer of peers.flatMap((peer) => peer.failingCustomers)) {
    counts.set(customer, (counts.get(customer) ?? 0) + 1);
  }
  return [...counts].filter(([, n]) => n >= 2).map(([customer]) => customer);
}
