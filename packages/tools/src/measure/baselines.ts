// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Baseline detectors that lockpin's detector is compared with. */

/** Detects faulty upstreams from finished calls. */
export interface BaselineDetector {
  readonly name: string;
  /** Records a finished call; returns true if it ejects the upstream. */
  readonly observe: (now: number, upstream: number, failed: boolean) => boolean;
}

const EJECTION_MILLISECONDS = 30_000;
const CONSECUTIVE_ERRORS = 5;

/** Ejects an upstream after five consecutive errors. */
export function createConsecutiveErrorsDetector(): BaselineDetector {
  const consecutiveFailures = new Map<number, number>();
  const ejectedUntil = new Map<number, number>();
  return {
    name: 'five errors in a row',
    observe: (now, upstream, failed) => {
      if (now < (ejectedUntil.get(upstream) ?? 0)) {
        return false;
      }
      const count = failed ? (consecutiveFailures.get(upstream) ?? 0) + 1 : 0;
      consecutiveFailures.set(upstream, count);
      if (count < CONSECUTIVE_ERRORS) {
        return false;
      }
      consecutiveFailures.set(upstream, 0);
      ejectedUntil.set(upstream, now + EJECTION_MILLISECONDS);
      return true;
    },
  };
}

const INTERVAL_MILLISECONDS = 1000;
const MINIMUM_CALLS = 5;
const MINIMUM_UPSTREAMS = 3;
const DEVIATIONS = 1.9;

interface Counts {
  calls: number;
  failed: number;
}

/** Ejects on a success rate below the peers' mean less 1.9 deviations. */
export function createSuccessRateDetector(): BaselineDetector {
  const counts = new Map<number, Counts>();
  const ejectedUntil = new Map<number, number>();
  let intervalEnd = 0;
  let suspects = new Set<number>();
  return {
    name: 'success rate, 1.9 deviations',
    observe: (now, upstream, failed) => {
      if (now >= intervalEnd) {
        intervalEnd = now + INTERVAL_MILLISECONDS;
        suspects = findOutliers(counts);
        counts.clear();
      }
      const own = counts.get(upstream) ?? {calls: 0, failed: 0};
      own.calls += 1;
      own.failed += failed ? 1 : 0;
      counts.set(upstream, own);
      const isEjected = now < (ejectedUntil.get(upstream) ?? 0);
      if (isEjected || !suspects.delete(upstream)) {
        return false;
      }
      ejectedUntil.set(upstream, now + EJECTION_MILLISECONDS);
      return true;
    },
  };
}

function findOutliers(counts: ReadonlyMap<number, Counts>): Set<number> {
  const rates = [...counts]
    .filter(([, {calls}]) => calls >= MINIMUM_CALLS)
    .map(([upstream, {calls, failed}]) => ({
      upstream,
      rate: 1 - failed / calls,
    }));
  if (rates.length < MINIMUM_UPSTREAMS) {
    return new Set();
  }
  const mean = rates.reduce((sum, {rate}) => sum + rate, 0) / rates.length;
  const variance =
    rates.reduce((sum, {rate}) => sum + (rate - mean) ** 2, 0) / rates.length;
  const threshold = mean - DEVIATIONS * Math.sqrt(variance);
  return new Set(
    rates.filter(({rate}) => rate < threshold).map(({upstream}) => upstream),
  );
}
