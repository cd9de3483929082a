// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Whether a run of the tests is good, but for the faults that are known. */

import {relative} from 'node:path';
import type {KnownRed} from './knownRed.js';

/** The part of vitest's JSON report that is judged. */
export interface TestReport {
  readonly success: boolean;
  readonly numTotalTests: number;
  readonly testResults: readonly {
    /** Path of the file. */
    readonly name: string;
    readonly status: string;
    readonly message: string;
    readonly assertionResults: readonly {
      readonly fullName: string;
      readonly status: string;
    }[];
  }[];
}

/** Why CI fails. */
export type TestProblem =
  | {readonly kind: 'failed'; readonly test: string}
  | {readonly kind: 'file-failed'; readonly file: string}
  /** A fault that is known has gone; its line is to be taken away. */
  | {readonly kind: 'known-red-passes'; readonly test: string}
  /** No test of that name has run. */
  | {readonly kind: 'known-red-missing'; readonly test: string}
  /** The run failed, and no test or file says why. */
  | {readonly kind: 'run-failed'};

interface Ended {
  readonly test: string;
  readonly hasPassed: boolean;
  readonly hasFailed: boolean;
}

/** The problems of a run; none when all is well but for what is known. */
export function judgeTests(
  root: string,
  report: TestReport,
  knownRed: readonly KnownRed[],
): readonly TestProblem[] {
  const known = new Set(knownRed.flatMap(({test}) => test ?? []));
  const ended = endedTests(root, report);
  const failed = ended.filter(({hasFailed}) => hasFailed);
  const problems: TestProblem[] = [
    ...failed
      .filter(({test}) => !known.has(test))
      .map(({test}): TestProblem => ({kind: 'failed', test})),
    ...filesThatFailed(root, report),
    ...[...known].flatMap((test) => knownProblem(test, ended)),
  ];
  const isExplained = failed.length > 0 || problems.length > 0;
  const hasRun = report.numTotalTests > 0;
  if ((!report.success && !isExplained) || !hasRun) {
    problems.push({kind: 'run-failed'});
  }
  return problems;
}

function endedTests(root: string, report: TestReport): readonly Ended[] {
  return report.testResults.flatMap(({name, assertionResults}) =>
    assertionResults.map(({fullName, status}) => ({
      test: `${relative(root, name)} > ${fullName}`,
      hasPassed: status === 'passed',
      hasFailed: status === 'failed',
    })),
  );
}

/** A file that cannot be loaded fails without any test of its own. */
function filesThatFailed(
  root: string,
  {testResults}: TestReport,
): readonly TestProblem[] {
  return testResults
    .filter(
      ({status, assertionResults}) =>
        status === 'failed' &&
        !assertionResults.some((result) => result.status === 'failed'),
    )
    .map(({name}) => ({kind: 'file-failed', file: relative(root, name)}));
}

function knownProblem(
  test: string,
  ended: readonly Ended[],
): readonly TestProblem[] {
  const found = ended.filter((result) => result.test === test);
  if (found.some(({hasFailed}) => hasFailed)) {
    return [];
  }
  return found.some(({hasPassed}) => hasPassed)
    ? [{kind: 'known-red-passes', test}]
    : [{kind: 'known-red-missing', test}];
}
