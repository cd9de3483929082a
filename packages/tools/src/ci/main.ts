// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** npm run test:ci: runs the tests, and passes over the faults in KNOWN-RED.txt alone. */

import {existsSync, mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {startVitest} from 'vitest/node';
import {judgeTests} from './judgeTests.js';
import type {TestProblem, TestReport} from './judgeTests.js';
import {readKnownRed} from './knownRed.js';
import type {KnownRed} from './knownRed.js';

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));

const LIST = join(ROOT, 'KNOWN-RED.txt');

function knownRed(): readonly KnownRed[] {
  const read = readKnownRed(existsSync(LIST) ? readFileSync(LIST, 'utf8') : '');
  if (!read.ok) {
    process.stderr.write(`KNOWN-RED.txt: ${JSON.stringify(read.failure)}\n`);
    process.exit(1);
  }
  return read.value;
}

/** A run of all tests. */
interface TestRun {
  /** Undefined when the run wrote none. */
  readonly report: TestReport | undefined;
  /** Errors that came outside of any test. */
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

function problemsOf({
  report,
  unhandledErrors,
}: TestRun): readonly TestProblem[] {
  const outside: readonly TestProblem[] =
    report === undefined || unhandledErrors > 0 ? [{kind: 'run-failed'}] : [];
  const inside = report === undefined ? [] : judgeTests(ROOT, report, faults);
  return [...outside, ...inside];
}

const faults = knownRed();
const problems = problemsOf(await runTests());
for (const {test, command, seen, issue} of faults) {
  const line = [test ?? 'by hand', command, seen, issue].join('\n  ');
  process.stdout.write(`known red: ${line}\n`);
}
for (const problem of problems) {
  process.stderr.write(`CI fails: ${JSON.stringify(problem)}\n`);
}
process.exit(problems.length === 0 ? 0 : 1);
