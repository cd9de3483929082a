// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Checks the recorded history of a soak against the guarantees. */

import {isFleetUndisrupted, isUndisrupted} from './isUndisrupted.js';
import {checkConfiguration} from './checkConfiguration.js';
import {checkNotices, noticeHistory} from './checkNotices.js';
import {checkRetries} from './checkRetries.js';
import {checkUse} from './checkUse.js';
import {describeStalls} from './describeStalls.js';
import {createViolation, isServed} from './soakHistory.js';
import type {
  CallRecord,
  RunRecord,
  SoakBounds,
  SoakHistory,
  DisruptionRecord,
  Violation,
} from './soakHistory.js';

/** Share of the calls of the steady-state phase that must be served. */
const MINIMUM_SERVED_SHARE = 0.95;

/** Successful statuses: start inclusive, end exclusive. */
const SUCCESS_STATUS_START = 200;
const SUCCESS_STATUS_END = 300;

/** The last status that HTTP knows. */
const LAST_STATUS = 599;

/** Returns every violation; empty when all guarantees hold. */
export function checkHistory(
  history: SoakHistory,
  bounds: SoakBounds,
  answerBody: (requestId: string) => string,
): readonly Violation[] {
  const runs = runsByRequest(history.runs);
  return [
    ...history.calls.flatMap((call) => [
      ...checkRuns(call, runs),
      ...checkAnswer(call, runs, answerBody),
      ...checkTimeLimit(call, history, bounds),
    ]),
    ...checkStops(history),
    ...checkLosses(history, runs, bounds, answerBody),
    ...history.unexpectedExits.map(({box, exitCode, signal, age}) =>
      createViolation(
        'no unexpected exits',
        box,
        `exit code ${String(exitCode)}, signal ${String(signal)}, ${age} ms after its start`,
      ),
    ),
    ...checkDrains(history, bounds),
    ...checkConfiguration(history, bounds),
    ...checkRetries(history, bounds),
    ...checkNotices(noticeHistory(history), bounds),
    ...checkUse(history, bounds),
    ...checkRecovery(history),
  ];
}

function runsByRequest(
  runs: readonly RunRecord[],
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const {requestId} of runs) {
    counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
  }
  return counts;
}

function checkRuns(
  {requestId, isRepeatable}: CallRecord,
  runs: ReadonlyMap<string, number>,
): readonly Violation[] {
  const count = runs.get(requestId) ?? 0;
  return isRepeatable || count <= 1
    ? []
    : [createViolation('at most once', requestId, `ran ${count} times`)];
}

function checkAnswer(
  {requestId, isRepeatable, end}: CallRecord,
  runs: ReadonlyMap<string, number>,
  answerBody: (requestId: string) => string,
): readonly Violation[] {
  if (end.kind !== 'answered') {
    return [];
  }
  const violations: Violation[] = [];
  const {status, saysNotRun, hasProof, body} = end;
  const hasRun = (runs.get(requestId) ?? 0) > 0;
  if (saysNotRun && hasRun && !isRepeatable) {
    violations.push(
      createViolation(
        'truthful refusals',
        requestId,
        `status ${status}, but the request ran`,
      ),
    );
  }
  const isSuccess =
    status < SUCCESS_STATUS_END && status >= SUCCESS_STATUS_START;
  if (isSuccess && (!hasProof || body !== answerBody(requestId))) {
    violations.push(
      createViolation(
        'complete answers',
        requestId,
        `status ${status} with body ${body}`,
      ),
    );
  }
  if (status < SUCCESS_STATUS_START || status > LAST_STATUS) {
    violations.push(
      createViolation('answers in HTTP', requestId, `status ${status}`),
    );
  }
  if (end.requestId !== undefined && end.requestId !== requestId) {
    violations.push(
      createViolation(
        'matching answers',
        requestId,
        `got the answer to ${end.requestId}`,
      ),
    );
  }
  return violations;
}

/** An undisrupted box must give a final answer within the route's timeout. */
function checkTimeLimit(
  call: CallRecord,
  {disruptions, stalls}: SoakHistory,
  {settleMilliseconds, lateMilliseconds}: SoakBounds,
): readonly Violation[] {
  const {requestId, box, sentAt, endedAt, timeoutMilliseconds} = call;
  const durationMilliseconds = endedAt - sentAt;
  const isLate = durationMilliseconds > timeoutMilliseconds + lateMilliseconds;
  const from = sentAt - settleMilliseconds;
  return isLate && isUndisrupted(disruptions, box, from, endedAt)
    ? [
        createViolation(
          'time limits',
          requestId,
          `${durationMilliseconds} ms at ${box}${describeStalls(stalls, sentAt, endedAt, [box])}`,
        ),
      ]
    : [];
}

function isUnplanned({isPlanned}: DisruptionRecord): boolean {
  return !isPlanned;
}

/** Exit code of a node whose time to stop was over before its answers were sent. */
const STOP_LIMIT_REACHED = 1;

/** Longer answers are passed on before they are complete. */
const BUFFERED_BYTES = 64 * 1024;

/** Returns the boxes that an answer passes: its caller's and its upstreams'. */
function boxesOfAnswers({
  arrivals,
  upstreams,
}: SoakHistory): (call: CallRecord) => ReadonlySet<string> {
  const boxes = new Map(upstreams.map(({lifetime, box}) => [lifetime, box]));
  return ({requestId, box}) =>
    new Set([
      box,
      ...arrivals
        .filter((arrival) => arrival.requestId === requestId)
        .flatMap(({lifetime}) => boxes.get(lifetime) ?? []),
    ]);
}

/**
 * A planned stop must end in time and with exit code 0, unless a caller was still
 * reading the answer that it had begun to get, from this box or through it.
 */
function checkStops(history: SoakHistory): readonly Violation[] {
  const {stops, calls, disruptions} = history;
  const boxesOf = boxesOfAnswers(history);
  return (
    stops
      // A process without a signal handler yet is ended by the signal itself.
      .filter(({exitCode, wasKilled}) =>
        exitCode === null ? wasKilled : exitCode !== 0,
      )
      .filter(
        ({box, exitCode, signalledAt, exitedAt}) =>
          exitCode !== STOP_LIMIT_REACHED ||
          !calls.some(
            (call) =>
              call.sentAt < exitedAt &&
              call.endedAt > signalledAt &&
              call.end.kind === 'broken' &&
              call.end.hadBegun &&
              boxesOf(call).has(box),
          ),
      )
      .filter(({box, signalledAt, exitedAt}) =>
        isUndisrupted(disruptions, box, signalledAt, exitedAt, isUnplanned),
      )
      .map(({box, exitCode}) =>
        createViolation('planned stops', box, `exit code ${String(exitCode)}`),
      )
  );
}

/**
 * A planned stop must not break the connection of a call in progress. An answer
 * that is passed on before it is complete depends on the box and the upstream
 * that send it, too, and on a reader that takes it before the stop's limit.
 */
function checkLosses(
  history: SoakHistory,
  runs: ReadonlyMap<string, number>,
  {settleMilliseconds, stopRaceMilliseconds}: SoakBounds,
  answerBody: (requestId: string) => string,
): readonly Violation[] {
  const {calls, disruptions, stops} = history;
  const boxesOf = boxesOfAnswers(history);
  const cutStops = stops.filter(
    ({exitCode}) => exitCode === STOP_LIMIT_REACHED,
  );
  return calls
    .filter(({end}) => end.kind === 'broken')
    .filter(({requestId, sentAt, endedAt}) => {
      const hasRun = (runs.get(requestId) ?? 0) > 0;
      return hasRun || endedAt - sentAt > stopRaceMilliseconds;
    })
    .filter((call) => {
      const {requestId, box, sentAt, endedAt, end} = call;
      const from = sentAt - settleMilliseconds;
      const isStreamed =
        (end.kind === 'broken' && end.hadBegun) ||
        answerBody(requestId).length > BUFFERED_BYTES;
      if (!isStreamed) {
        return isUndisrupted(disruptions, box, from, endedAt, isUnplanned);
      }
      const wasCut = cutStops.some(
        (stop) =>
          stop.signalledAt < endedAt &&
          stop.exitedAt > sentAt &&
          boxesOf(call).has(stop.box),
      );
      return (
        !wasCut && isFleetUndisrupted(disruptions, from, endedAt, isUnplanned)
      );
    })
    .map(({requestId, box, sentAt, endedAt}) =>
      createViolation(
        'no lost calls',
        requestId,
        `connection to ${box} broke after ${endedAt - sentAt} ms`,
      ),
    );
}

/** Calls must stop arriving within the limit after an acknowledged drain. */
function checkDrains(
  {drains, arrivals}: SoakHistory,
  {drainMilliseconds}: SoakBounds,
): readonly Violation[] {
  return drains.flatMap(({lifetime, acknowledgedAt}) =>
    arrivals
      .filter(
        (arrival) =>
          arrival.lifetime === lifetime &&
          arrival.at > acknowledgedAt + drainMilliseconds,
      )
      .map(({requestId, at}) =>
        createViolation(
          'drains',
          requestId,
          `reached ${lifetime} ${at - acknowledgedAt} ms after the drain`,
        ),
      ),
  );
}

/** In steady state, calls must be served and every upstream must get some. */
function checkRecovery({
  calls,
  arrivals,
  stalls,
  steadyStateFrom,
  readyLifetimes,
}: SoakHistory): readonly Violation[] {
  const finalCalls = calls.filter(({sentAt}) => sentAt >= steadyStateFrom);
  const served = finalCalls.filter(({end}) => isServed(end));
  const stalled = describeStalls(
    stalls,
    steadyStateFrom,
    Number.POSITIVE_INFINITY,
  );
  const idle = readyLifetimes.filter(
    (lifetime) =>
      !arrivals.some(
        (item) => item.lifetime === lifetime && item.at > steadyStateFrom,
      ),
  );
  return [
    ...(served.length < finalCalls.length * MINIMUM_SERVED_SHARE ||
    finalCalls.length === 0
      ? [
          createViolation(
            'recovery',
            'all',
            `${served.length} of ${finalCalls.length} served${stalled}`,
          ),
        ]
      : []),
    ...idle.map((lifetime) =>
      createViolation('recovery', lifetime, `received no calls${stalled}`),
    ),
  ];
}
