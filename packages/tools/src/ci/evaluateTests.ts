// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Evaluates a test run against the list of known faults. */

import {relative} from 'node:path';
import type {KnownRed} from './knownRed.js';

/** The evaluated part of vitest's JSON report. */
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

/** A reason for CI to fail. */
export type TestProblem =
  | {readonly kind: 'failed'; readonly test: string}
  | {readonly kind: 'file-failed'; readonly file: string}
  /** A known fault no longer shows; its line has to be removed. */
  | {readonly kind: 'known-red-passes'; readonly test: string}
  /** No test with that name has run. */
  | {readonly kind: 'known-red-missing'; readonly test: string}
  /** The run failed without a failed test or file. */
  | {readonly kind: 'run-failed'};

interface TestResult {
  readonly test: string;
  readonly hasPassed: boolean;
  readonly hasFailed: boolean;
}

/** Returns the problems of a run; none if only known faults failed. */
export function evaluateTests(
  root: string,
  report: TestReport,
  knownRed: readonly KnownRed[],
): readonly TestProblem[] {
  const known = new Set(knownRed.flatMap(({test}) => test ?? []));
  const results = flattenResults(root, report);
  const failed = results.filter(({hasFailed}) => hasFailed);
  const problems: TestProblem[] = [
    ...failed
      .filter(({test}) => !known.has(test))
      .map(({test}): TestProblem => ({kind: 'failed', test})),
    ...failedFiles(root, report),
    ...[...known].flatMap((test) => knownRedProblems(test, results)),
  ];
  const isExplained = failed.length > 0 || problems.length > 0;
  const hasTests = report.numTotalTests > 0;
  if ((!report.success && !isExplained) || !hasTests) {
    problems.push({kind: 'run-failed'});
  }
  return problems;
}

function flattenResults(
  root: string,
  report: TestReport,
): readonly TestResult[] {
  return report.testResults.flatMap(({name, assertionResults}) =>
    assertionResults.map(({fullName, status}) => ({
      test: `${relative(root, name)} > ${fullName}`,
      hasPassed: status === 'passed',
      hasFailed: status === 'failed',
    })),
  );
}

/** A file that cannot be loaded fails without a failed test. */
function failedFiles(
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

function knownRedProblems(
  test: string,
  results: readonly TestResult[],
): readonly TestProblem[] {
  const found = results.filter((result) => result.test === test);
  if (found.some(({hasFailed}) => hasFailed)) {
    return [];
  }
  return found.some(({hasPassed}) => hasPassed)
    ? [{kind: 'known-red-passes', test}]
    : [{kind: 'known-red-missing', test}];
}
