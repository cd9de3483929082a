// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Holds what was seen in a soak against what the system promises. */

import {isCalm} from './calmSpans.js';
import {checkConfiguration} from './checkConfiguration.js';
import {checkRetries} from './checkRetries.js';
import {broken, isServed} from './soakFacts.js';
import type {
  CallFact,
  RunFact,
  SoakBounds,
  SoakFacts,
  TroubleFact,
  Violation,
} from './soakFacts.js';

/** Share of the calls of the last phase that must be served. */
const SERVED_AT_LAST = 0.95;

/** Successes are the statuses from the first up to, but without, the second. */
const FIRST_SUCCESS = 200;
const FIRST_FAILED = 300;

/** Every broken promise; empty when all were kept. */
export function checkFacts(
  facts: SoakFacts,
  bounds: SoakBounds,
  answerBody: (requestId: string) => string,
): readonly Violation[] {
  const runs = runsByRequest(facts.runs);
  return [
    ...facts.calls.flatMap((call) => [
      ...checkRuns(call, runs),
      ...checkAnswer(call, runs, answerBody),
      ...checkTimeLimit(call, facts.troubles, bounds),
    ]),
    ...checkStops(facts),
    ...checkLosses(facts, runs, bounds),
    ...facts.unasked.map(({box, exitCode}) =>
      broken('keeps running', box, `ended with ${String(exitCode)}`),
    ),
    ...checkDrains(facts, bounds),
    ...checkConfiguration(facts, bounds),
    ...checkRetries(facts, bounds),
    ...checkRecovery(facts),
  ];
}

function runsByRequest(runs: readonly RunFact[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const {requestId} of runs) {
    counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
  }
  return counts;
}

function checkRuns(
  {requestId, isRepeatable}: CallFact,
  runs: ReadonlyMap<string, number>,
): readonly Violation[] {
  const count = runs.get(requestId) ?? 0;
  return isRepeatable || count <= 1
    ? []
    : [broken('at most once', requestId, `ran ${count} times`)];
}

function checkAnswer(
  {requestId, isRepeatable, end}: CallFact,
  runs: ReadonlyMap<string, number>,
  answerBody: (requestId: string) => string,
): readonly Violation[] {
  if (end.kind !== 'answered') {
    return [];
  }
  const found: Violation[] = [];
  const {status, saysNotRun, hasProof, body} = end;
  const hasRun = (runs.get(requestId) ?? 0) > 0;
  if (saysNotRun && hasRun && !isRepeatable) {
    found.push(broken('true refusals', requestId, `${status}, but it ran`));
  }
  const isSuccess = status < FIRST_FAILED && status >= FIRST_SUCCESS;
  if (isSuccess && (!hasProof || body !== answerBody(requestId))) {
    found.push(broken('whole answers', requestId, `${status} with ${body}`));
  }
  if (end.requestId !== undefined && end.requestId !== requestId) {
    found.push(
      broken('own answers', requestId, `got that of ${end.requestId}`),
    );
  }
  return found;
}

/** An untroubled box gives a final answer when the route's time is over. */
function checkTimeLimit(
  call: CallFact,
  troubles: readonly TroubleFact[],
  {contactMilliseconds, lateMilliseconds}: SoakBounds,
): readonly Violation[] {
  const {requestId, box, sentAt, endedAt, timeoutMilliseconds} = call;
  const took = endedAt - sentAt;
  const isLate = took > timeoutMilliseconds + lateMilliseconds;
  const from = sentAt - contactMilliseconds;
  return isLate && isCalm(troubles, box, from, endedAt)
    ? [broken('time limits', requestId, `${took} ms at ${box}`)]
    : [];
}

function isUnplanned({isPlanned}: TroubleFact): boolean {
  return !isPlanned;
}

/** A planned stop ends in time, and with exit code 0. */
function checkStops({stops, troubles}: SoakFacts): readonly Violation[] {
  return (
    stops
      // Before its first line runs, a process ends by the signal itself.
      .filter(({exitCode, wasKilled}) =>
        exitCode === null ? wasKilled : exitCode !== 0,
      )
      .filter(({box, signalledAt, exitedAt}) =>
        isCalm(troubles, box, signalledAt, exitedAt, isUnplanned),
      )
      .map(({box, exitCode}) =>
        broken('planned stops', box, `exit code ${String(exitCode)}`),
      )
  );
}

/** A planned stop breaks no connection off under a call. */
function checkLosses(
  {calls, troubles}: SoakFacts,
  runs: ReadonlyMap<string, number>,
  {contactMilliseconds, lossMilliseconds}: SoakBounds,
): readonly Violation[] {
  return calls
    .filter(({end}) => end.kind === 'broken')
    .filter(({requestId, sentAt, endedAt}) => {
      const hasRun = (runs.get(requestId) ?? 0) > 0;
      return hasRun || endedAt - sentAt > lossMilliseconds;
    })
    .filter(({box, sentAt, endedAt}) =>
      isCalm(troubles, box, sentAt - contactMilliseconds, endedAt, isUnplanned),
    )
    .map(({requestId, box, sentAt, endedAt}) =>
      broken('nothing lost', requestId, `${box}, ${endedAt - sentAt} ms`),
    );
}

/** After its drain was acknowledged, an upstream soon gets nothing more. */
function checkDrains(
  {drains, arrivals}: SoakFacts,
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
        broken('drains', requestId, `${lifetime}, ${at - acknowledgedAt} ms`),
      ),
  );
}

/** Once all is well again, calls are served, and by every upstream. */
function checkRecovery({
  calls,
  arrivals,
  calmFrom,
  readyLifetimes,
}: SoakFacts): readonly Violation[] {
  const last = calls.filter(({sentAt}) => sentAt >= calmFrom);
  const served = last.filter(({end}) => isServed(end));
  const idle = readyLifetimes.filter(
    (lifetime) =>
      !arrivals.some(
        (item) => item.lifetime === lifetime && item.at > calmFrom,
      ),
  );
  return [
    ...(served.length < last.length * SERVED_AT_LAST || last.length === 0
      ? [broken('recovery', 'all', `${served.length} of ${last.length} served`)]
      : []),
    ...idle.map((lifetime) => broken('recovery', lifetime, 'gets no calls')),
  ];
}
