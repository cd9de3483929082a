// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** CI tolerates the listed faults and nothing else. */

import {describe, expect, it} from 'vitest';
import {evaluateTests} from '../ci/evaluateTests.js';
import type {TestReport} from '../ci/evaluateTests.js';
import {parseKnownRed} from '../ci/knownRed.js';
import type {KnownRed} from '../ci/knownRed.js';

const LINE = 'a.test.ts > works | npm test | it does not | 7';

function createReport(
  statuses: Readonly<Record<string, string>>,
  change: Partial<TestReport> = {},
): TestReport {
  const assertionResults = Object.entries(statuses).map(
    ([fullName, status]) => ({fullName, status}),
  );
  const hasFailed = assertionResults.some(({status}) => status === 'failed');
  return {
    success: !hasFailed,
    numTotalTests: assertionResults.length,
    testResults: [
      {
        name: '/root/a.test.ts',
        status: hasFailed ? 'failed' : 'passed',
        message: '',
        assertionResults,
      },
    ],
    ...change,
  };
}

function knownFaults(...lines: readonly string[]): readonly KnownRed[] {
  const read = parseKnownRed(lines.join('\n'));
  if (!read.ok) {
    throw new Error(JSON.stringify(read.failure));
  }
  return read.value;
}

function findProblems(tests: TestReport, ...lines: readonly string[]) {
  return evaluateTests('/root', tests, knownFaults(...lines));
}

describe('the list of known faults', () => {
  it('is parsed line by line, ignoring comments', () => {
    expect(knownFaults('# a note', '', LINE)).toEqual([
      {
        test: 'a.test.ts > works',
        command: 'npm test',
        seen: 'it does not',
        issue: '7',
      },
    ]);
  });

  it('accepts a fault that only a long manual run shows', () => {
    const [fault] = knownFaults('by hand | npm run soak -- --seed 3 | x | 7');
    expect(fault?.test).toBeUndefined();
  });

  it('rejects lines with a missing, extra or empty field', () => {
    for (const line of [
      'a.test.ts > works | npm test | 7',
      `${LINE} | more`,
      'a.test.ts > works | npm test |  | 7',
    ]) {
      expect(parseKnownRed(line)).toMatchObject({
        failure: {kind: 'malformed', line},
      });
    }
  });
});

describe('CI', () => {
  it('passes when all tests pass', () => {
    expect(findProblems(createReport({works: 'passed'}))).toEqual([]);
  });

  it('tolerates a listed fault', () => {
    const tests = createReport({works: 'failed', else: 'passed'});
    expect(findProblems(tests, LINE)).toEqual([]);
  });

  it('fails on an unlisted fault', () => {
    const tests = createReport({works: 'failed', else: 'failed'});
    expect(findProblems(tests, LINE)).toEqual([
      {kind: 'failed', test: 'a.test.ts > else'},
    ]);
  });

  it('fails when a listed fault passes, is skipped or is not found', () => {
    expect(findProblems(createReport({works: 'passed'}), LINE)).toMatchObject([
      {kind: 'known-red-passes'},
    ]);
    expect(findProblems(createReport({works: 'skipped'}), LINE)).toMatchObject([
      {kind: 'known-red-missing'},
    ]);
    expect(findProblems(createReport({else: 'passed'}), LINE)).toMatchObject([
      {kind: 'known-red-missing'},
    ]);
  });

  it('fails when a file cannot be loaded, or the run fails without a failed test', () => {
    const passingReport = createReport({works: 'passed'});
    const [file] = passingReport.testResults;
    const failed = {...file, name: '/root/b.test.ts', assertionResults: []};
    expect(
      findProblems({
        ...passingReport,
        success: false,
        testResults: [{...failed, status: 'failed', message: ''}],
      }),
    ).toEqual([{kind: 'file-failed', file: 'b.test.ts'}]);
    expect(
      findProblems(createReport({works: 'passed'}, {success: false})),
    ).toEqual([{kind: 'run-failed'}]);
    expect(findProblems(createReport({}))).toEqual([{kind: 'run-failed'}]);
  });
});
