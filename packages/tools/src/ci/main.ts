// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** npm run test:ci: runs all tests, tolerating the faults in KNOWN-RED.txt. */

import {existsSync, mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {startVitest} from 'vitest/node';
import {evaluateTests} from './evaluateTests.js';
import type {TestProblem, TestReport} from './evaluateTests.js';
import {parseKnownRed} from './knownRed.js';
import type {KnownRed} from './knownRed.js';

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));

const KNOWN_RED_FILE = join(ROOT, 'KNOWN-RED.txt');

function loadKnownRed(): readonly KnownRed[] {
  const read = parseKnownRed(
    existsSync(KNOWN_RED_FILE) ? readFileSync(KNOWN_RED_FILE, 'utf8') : '',
  );
  if (!read.ok) {
    process.stderr.write(`KNOWN-RED.txt: ${JSON.stringify(read.failure)}\n`);
    process.exit(1);
  }
  return read.value;
}

/** Outcome of a run of all tests. */
interface TestRun {
  /** Undefined if the run wrote no report. */
  readonly report: TestReport | undefined;
  /** Number of errors raised outside of any test. */
  readonly unhandledErrors: number;
}

async function runTests(): Promise<TestRun> {
  const folder = mkdtempSync(join(tmpdir(), 'lockpin-tests-'));
  const file = join(folder, 'report.json');
  const vitest = await startVitest('test', [], {
    root: ROOT,
    watch: false,
    reporters: ['default', ['json', {outputFile: file}]],
  });
  await vitest.close();
  const report = existsSync(file)
    ? (JSON.parse(readFileSync(file, 'utf8')) as TestReport)
    : undefined;
  rmSync(folder, {recursive: true});
  return {report, unhandledErrors: vitest.state.getUnhandledErrors().length};
}

function findProblems({
  report,
  unhandledErrors,
}: TestRun): readonly TestProblem[] {
  const outside: readonly TestProblem[] =
    report === undefined || unhandledErrors > 0 ? [{kind: 'run-failed'}] : [];
  const inside =
    report === undefined ? [] : evaluateTests(ROOT, report, faults);
  return [...outside, ...inside];
}

const faults = loadKnownRed();
const problems = findProblems(await runTests());
for (const {test, command, seen, issue} of faults) {
  const line = [test ?? 'by hand', command, seen, issue].join('\n  ');
  process.stdout.write(`known red: ${line}\n`);
}
for (const problem of problems) {
  process.stderr.write(`CI fails: ${JSON.stringify(problem)}\n`);
}
process.exit(problems.length === 0 ? 0 : 1);
