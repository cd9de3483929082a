// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Detects from real calls whether an upstream is worse than its peers. */

import {CallStatistics} from './callStatistics.js';
import type {CallSummary} from './callStatistics.js';
import {CumulativeSum} from './cumulativeSum.js';
import type {SequentialHypotheses} from './cumulativeSum.js';
import {CustomerEvidence} from './customerEvidence.js';
import {ALL_CALLS, MINIMUM_COMPARED_WEIGHT} from './peerBaseline.js';
import type {PeerBaseline, PeerSummary} from './peerBaseline.js';
import type {DetectionSettings} from './sensitivity.js';
import {SlownessTest, WINDOW_MILLISECONDS} from './slownessTest.js';

/** One finished call. */
export interface CallEvidence {
  /** Name of the route, which identifies the kind of call. */
  readonly route: string;
  readonly customer: string;
  /** The upstream failed; a caller's invalid request does not count. */
  readonly failed: boolean;
  /** Milliseconds the upstream took. */
  readonly milliseconds: number;
}

/** The result of evaluating the evidence. */
export interface Verdict {
  readonly condemned: boolean;
  readonly suspect: boolean;
  /** Score divided by its threshold; higher is worse. */
  readonly severity: number;
  readonly cause: 'errors' | 'slowness' | 'none';
  readonly route: string;
}

/** A call is slow when it takes this many times the typical time of peers. */
export const SLOW_FACTOR = 2.5;

/**
 * When the peers' typical time rises by this factor, evidence of slowness that
 * was gathered against the earlier baseline is discarded.
 */
const BASELINE_RESET_FACTOR = 1.5;

/** Bounds on the share of failed calls expected, and on the share to detect. */
const MINIMUM_EXPECTED_ERROR_SHARE = 0.005;
const ERROR_MARGIN = 2;
const MINIMUM_SUSPECT_ERROR_SHARE = 0.12;
const MAXIMUM_EXPECTED_ERROR_SHARE = 0.8;

/** Busiest kinds of call in a report to the holder, with ALL_CALLS included. */
const MAXIMUM_REPORTED_KINDS = 7;

/** Upper limit of the scores, as a multiple of the threshold. */
const MAXIMUM_SEVERITY = 1.5;

const NO_VERDICT: Verdict = {
  condemned: false,
  suspect: false,
  severity: 0,
  cause: 'none',
  route: '',
};

interface RouteEvidence {
  readonly errors: CumulativeSum;
  readonly slowness: SlownessTest;
  readonly statistics: CallStatistics;
}

/** Runs sequential tests per kind of call and over all calls of an upstream. */
export class GrayDetector {
  private readonly routes = new Map<string, RouteEvidence>();
  private readonly customers = new CustomerEvidence();
  private baseline: PeerBaseline | undefined;
  private windowEndsAt = 0;

  constructor(private settings: DetectionSettings) {}

  setSettings(settings: DetectionSettings): void {
    this.settings = settings;
  }

  /** Sets the statistics of the peers that this upstream is compared with. */
  setBaseline(baseline: PeerBaseline | undefined): void {
    const before = this.baseline;
    this.baseline = baseline;
    for (const [route, {slowness}] of this.routes) {
      const previousTypical = before?.calls[route]?.typicalMilliseconds ?? 0;
      const currentTypical = baseline?.calls[route]?.typicalMilliseconds ?? 0;
      if (
        previousTypical > 0 &&
        currentTypical > previousTypical * BASELINE_RESET_FACTOR
      ) {
        slowness.reset();
      }
    }
  }

  /** Milliseconds after which a running call counts as slow. */
  slowAfterMilliseconds(route: string): number {
    const known = this.baselineOf(route) ?? this.baselineOf(ALL_CALLS);
    const typical = known?.typicalMilliseconds ?? 0;
    return typical > 0 ? typical * SLOW_FACTOR : Number.POSITIVE_INFINITY;
  }

  /** Records a finished call. */
  observe(now: number, call: CallEvidence): void {
    const slow = call.milliseconds > this.slowAfterMilliseconds(call.route);
    const duration = call.failed ? undefined : call.milliseconds;
    this.customers.add(now, call.customer, call.failed);
    for (const route of [call.route, ALL_CALLS]) {
      const evidence = this.evidence(route);
      evidence.statistics.add(now, call.failed, duration);
      this.testErrors(now, route, evidence, call);
      if (!call.failed) {
        evidence.slowness.recordCall(slow);
      }
    }
  }

  /**
   * Closes the current time window once it is over. The function counts the
   * running calls of each kind that are overdue.
   */
  closeWindow(
    now: number,
    countOverdue: () => ReadonlyMap<string, number>,
  ): void {
    if (now < this.windowEndsAt) {
      return;
    }
    this.windowEndsAt = now + WINDOW_MILLISECONDS;
    const overdue = countOverdue();
    for (const route of overdue.keys()) {
      this.evidence(route);
    }
    const maximum = this.settings.slowThreshold * MAXIMUM_SEVERITY;
    for (const [route, {slowness}] of this.routes) {
      const peers = this.baselineOf(route)?.slowShare ?? 0;
      slowness.closeWindow(now, overdue.get(route) ?? 0, peers, maximum);
    }
  }

  /** The summary for the report to the service's permit holder. */
  summary(now: number): PeerSummary {
    const busiest = [...this.routes]
      .map(([route, {statistics, slowness}]) => ({
        route,
        summary: statistics.summary(now, slowness.slowShare),
      }))
      .filter(({summary}) => summary.weight >= MINIMUM_COMPARED_WEIGHT)
      .sort((a, b) => b.summary.weight - a.summary.weight)
      .slice(0, MAXIMUM_REPORTED_KINDS);
    const failing = this.customers.failing(now);
    return {
      calls: Object.fromEntries(
        busiest.map(({route, summary}) => [route, rounded(summary)]),
      ),
      failingCustomers: failing.slice(0, MAXIMUM_REPORTED_KINDS),
    };
  }

  verdict(now: number): Verdict {
    let worst = NO_VERDICT;
    for (const [route, evidence] of this.routes) {
      const errors = this.errorVerdict(now, route, evidence);
      const slowness = this.slownessVerdict(route, evidence);
      worst = errors.severity > worst.severity ? errors : worst;
      worst = slowness.severity > worst.severity ? slowness : worst;
    }
    return worst;
  }

  /** Restarts the tests after an ejection or a return to service. */
  reset(): void {
    for (const {errors, slowness} of this.routes.values()) {
      errors.reset();
      slowness.reset();
    }
  }

  private errorVerdict(
    now: number,
    route: string,
    {errors}: RouteEvidence,
  ): Verdict {
    const severity = errors.score / this.settings.errorThreshold;
    const isCertain =
      severity >= 1 &&
      now - errors.risingSince >= this.settings.minimumRiseMilliseconds &&
      this.customers.isShared(now);
    const suspect = severity >= 0.5;
    return {condemned: isCertain, suspect, severity, cause: 'errors', route};
  }

  private slownessVerdict(route: string, {slowness}: RouteEvidence): Verdict {
    const severity = slowness.score / this.settings.slowThreshold;
    return {
      condemned: severity >= 1,
      suspect: severity >= 0.5,
      severity,
      cause: 'slowness',
      route,
    };
  }

  private testErrors(
    now: number,
    route: string,
    {errors}: RouteEvidence,
    call: CallEvidence,
  ): void {
    if (this.baseline?.failingCustomers.includes(call.customer)) {
      return;
    }
    const peers = this.baselineOf(route)?.failedShare ?? 0;
    const maximum = this.settings.errorThreshold * MAXIMUM_SEVERITY;
    errors.observe(now, call.failed, errorHypotheses(peers), maximum);
  }

  private baselineOf(route: string): CallSummary | undefined {
    return this.baseline?.calls[route];
  }

  private evidence(route: string): RouteEvidence {
    const found = this.routes.get(route);
    if (found !== undefined) {
      return found;
    }
    const created = {
      errors: new CumulativeSum(),
      slowness: new SlownessTest(),
      statistics: new CallStatistics(),
    };
    this.routes.set(route, created);
    return created;
  }
}

function errorHypotheses(peers: number): SequentialHypotheses {
  const expectedShare = Math.min(
    MAXIMUM_EXPECTED_ERROR_SHARE,
    Math.max(MINIMUM_EXPECTED_ERROR_SHARE, peers * ERROR_MARGIN),
  );
  const isRare = expectedShare <= MINIMUM_SUSPECT_ERROR_SHARE / 2;
  const halfway = expectedShare + (1 - expectedShare) / 2;
  const suspectShare = isRare ? MINIMUM_SUSPECT_ERROR_SHARE : halfway;
  return {expectedShare, suspectShare};
}

/** Rounds to three significant digits to keep reports small. */
function rounded(summary: CallSummary): CallSummary {
  const round = (value: number): number => Number(value.toPrecision(3));
  return {
    weight: round(summary.weight),
    failedShare: round(summary.failedShare),
    slowShare: round(summary.slowShare),
    typicalMilliseconds: round(summary.typicalMilliseconds),
  };
}
