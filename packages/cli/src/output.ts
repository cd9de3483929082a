// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Formats output as a table, JSON or YAML. */

import {stringify} from 'yaml';

/** Values of the --output option. */
export const OUTPUT_FORMATS = ['table', 'json', 'yaml'] as const;

/** One of the output formats. */
export type OutputFormat = (typeof OUTPUT_FORMATS)[number];

/** A table row; keys are column names. */
export type Row = Readonly<Record<string, string | number | boolean>>;

/** Renders the value as JSON or YAML, or the rows as a table. */
export function render(
  format: OutputFormat,
  value: unknown,
  rows: readonly Row[],
): string {
  switch (format) {
    case 'json':
      return `${JSON.stringify(value, null, 2)}\n`;
    case 'yaml':
      return stringify(value);
    case 'table':
      return renderTable(rows);
  }
}

/** Renders aligned rows under column headers. */
export function renderTable(rows: readonly Row[]): string {
  const [first] = rows;
  if (first === undefined) {
    return 'nothing\n';
  }
  const columns = Object.keys(first);
  const cells = [
    columns.map((column) => column.toUpperCase()),
    ...rows.map((row) => columns.map((column) => String(row[column] ?? ''))),
  ];
  const widths = columns.map((_, i) =>
    Math.max(...cells.map((line) => (line[i] ?? '').length)),
  );
  return cells
    .map((line) =>
      line
        .map((cell, i) => cell.padEnd(widths[i] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .map((line) => `${line}\n`)
    .join('');
}
