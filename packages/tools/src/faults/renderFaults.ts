// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Renders docs/FAULTS.md from the fault matrix. */

import {FAULT_MATRIX, STEPS} from './matrix.js';
import type {Cell, TestReference} from './matrix.js';
import {PLATFORM_GUARANTEES} from './platformGuarantees.js';

/** Returns the Markdown text of the page. */
export function renderFaults(): string {
  const tests = allTests();
  const rows = FAULT_MATRIX.map(
    ({fault, cells}) =>
      `| ${[fault, ...STEPS.map((step) => cellText(cells[step], tests))].join(' | ')} |`,
  );
  return [
    '# Fault matrix',
    '',
    'Made by `npm run faults` from `packages/tools/src/faults/matrix.ts`; a test',
    'fails when a test named here is not there, or this page is old. A number is a',
    'test of the list below; "–" says why the fault cannot come there; "open" says',
    'what is not proved yet.',
    '',
    `| fault | ${STEPS.join(' | ')} |`,
    `| --- |${' --- |'.repeat(STEPS.length)}`,
    ...rows,
    '',
    "## Promises on the users' platform",
    '',
    '| promise | tests | open |',
    '| --- | --- | --- |',
    ...PLATFORM_GUARANTEES.map(
      (row) =>
        `| ${row.guarantee} | ${numbersOf(row.tests, tests)} | ${row.open} |`,
    ),
    '',
    '## Tests',
    '',
    ...tests.map(({file, title}, i) => `${i + 1}. "${title}" in \`${file}\``),
    '',
  ].join('\n');
}

/** Returns every referenced test once. */
export function allTests(): readonly TestReference[] {
  const found = new Map<string, TestReference>();
  for (const {cells} of FAULT_MATRIX) {
    for (const step of STEPS) {
      const cell = cells[step];
      const tests = cell.kind === 'covered' ? cell.tests : [];
      tests.forEach((test) => found.set(`${test.file} ${test.title}`, test));
    }
  }
  for (const {tests} of PLATFORM_GUARANTEES) {
    tests.forEach((test) => found.set(`${test.file} ${test.title}`, test));
  }
  return [...found.values()];
}

function numbersOf(
  named: readonly TestReference[],
  tests: readonly TestReference[],
): string {
  return named
    .map((test) => {
      const at = tests.findIndex(
        ({file, title}) => file === test.file && title === test.title,
      );
      return String(at + 1);
    })
    .join(', ');
}

function cellText(cell: Cell, tests: readonly TestReference[]): string {
  switch (cell.kind) {
    case 'covered':
      return numbersOf(cell.tests, tests);
    case 'not-applicable':
      return `– ${cell.why}`;
    case 'open':
      return `open: ${cell.what}`;
  }
}
