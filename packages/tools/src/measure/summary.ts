// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Summarises the runs of many seeds as table rows. */

import type {RunResult} from './serviceRunOptions.js';

const DAY_SECONDS = 86_400;

/** Summary for one service, scenario and detector. */
export interface SummaryRow {
  readonly service: string;
  readonly scenario: string;
  readonly detector: string;
  readonly seeds: number;
  readonly detected: number;
  /** Median in seconds; undefined if fewer than half were detected. */
  readonly detectionP50: number | undefined;
  readonly detectionP99: number | undefined;
  readonly falseEjections: number;
  readonly falseEjectionsPerUpstreamDay: number;
  readonly floorBroken: number;
  readonly amplification: number;
  readonly failedShare: number;
}

/** Summarises the runs of one row. */
export function summarise(
  names: Pick<SummaryRow, 'service' | 'scenario' | 'detector'>,
  upstreams: number,
  seconds: number,
  results: readonly RunResult[],
): SummaryRow {
  const times = results
    .map(({detection}) => detection ?? Number.POSITIVE_INFINITY)
    .sort((a, b) => a - b);
  const sum = (value: (result: RunResult) => number): number =>
    results.reduce((total, result) => total + value(result), 0);
  const falseEjections = sum((result) => result.falseEjections);
  const days = (results.length * upstreams * seconds) / DAY_SECONDS;
  return {
    ...names,
    seeds: results.length,
    detected: times.filter(Number.isFinite).length,
    detectionP50: quantile(times, 0.5),
    detectionP99: quantile(times, 0.99),
    falseEjections,
    falseEjectionsPerUpstreamDay: falseEjections / days,
    floorBroken: sum(({floorBroken}) => floorBroken),
    amplification: sum((r) => r.amplification) / results.length,
    failedShare: sum((r) => r.refusedOrFailed) / sum((r) => r.calls),
  };
}

function quantile(sorted: readonly number[], q: number): number | undefined {
  const value =
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * q))];
  return value === undefined || !Number.isFinite(value)
    ? undefined
    : value / 1000;
}
