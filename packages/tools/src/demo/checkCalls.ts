// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Compares reported outcomes with the executions of the upstreams. */

import type {PlacedUpstream} from '../harness/platform.js';
import {finalOutcome} from './callRecord.js';
import type {CallRecord} from './callRecord.js';

/** Counts of the comparison; the last five must be 0. */
export interface CallCounts {
  readonly calls: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly lost: number;
  readonly doubled: number;
  readonly crossed: number;
  readonly notRunButRan: number;
  readonly cutByPlannedStop: number;
}

/** The planned stop of the session. */
export interface PlannedStop {
  readonly box: string;
  readonly from: number;
  readonly until: number;
}

/** Checks all calls of a session. */
export function checkCalls(
  calls: readonly CallRecord[],
  upstreams: readonly PlacedUpstream[],
  stop: PlannedStop | undefined,
): CallCounts {
  const runs = countRuns(upstreams);
  const finalOutcomes = calls.map(finalOutcome);
  const count = (wanted: string): number =>
    finalOutcomes.filter((outcome) => outcome === wanted).length;
  return {
    calls: calls.length,
    answered: count('answered'),
    notRun: count('not-run'),
    unknown: count('unknown') + count('cut'),
    lost: calls.filter((call) => isLost(call, runs)).length,
    doubled: calls.filter((call) => hasRunTwice(call, runs)).length,
    crossed: calls.filter(({attempts}) =>
      attempts.some(({isCrossed}) => isCrossed),
    ).length,
    notRunButRan: calls.filter((call) => ranDespiteNotRun(call, runs)).length,
    cutByPlannedStop: calls.filter((call) => isCutByStop(call, stop)).length,
  };
}

/** Counts executions by the request identity that upstreams received. */
function countRuns(
  upstreams: readonly PlacedUpstream[],
): ReadonlyMap<string, number> {
  const runs = new Map<string, number>();
  for (const {standIn} of upstreams) {
    for (const {requestId} of standIn.executions) {
      runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
    }
  }
  return runs;
}

function totalRuns(
  call: CallRecord,
  runs: ReadonlyMap<string, number>,
): number {
  return call.attempts.reduce(
    (sum, {requestId}) => sum + (runs.get(requestId) ?? 0),
    0,
  );
}

/** Reported as answered, although no upstream ran it. */
function isLost(call: CallRecord, runs: ReadonlyMap<string, number>): boolean {
  return finalOutcome(call) === 'answered' && totalRuns(call, runs) === 0;
}

function hasRunTwice(
  call: CallRecord,
  runs: ReadonlyMap<string, number>,
): boolean {
  return call.repetition === 'once-only' && totalRuns(call, runs) > 1;
}

function ranDespiteNotRun(
  call: CallRecord,
  runs: ReadonlyMap<string, number>,
): boolean {
  return call.attempts.some(
    ({outcome, requestId}) =>
      outcome === 'not-run' && (runs.get(requestId) ?? 0) > 0,
  );
}

function isCutByStop(call: CallRecord, stop: PlannedStop | undefined): boolean {
  return (
    stop !== undefined &&
    call.attempts.some(
      ({outcome, box, startedAt}) =>
        outcome === 'cut' &&
        box === stop.box &&
        startedAt >= stop.from &&
        startedAt <= stop.until,
    )
  );
}
