// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Renders detection times as an SVG chart for the docs. */

import type {SummaryRow} from './summary.js';

const ROW_HEIGHT = 18;
const PLOT_LEFT = 330;
const WIDTH = 900;
const MAXIMUM_SECONDS = 10;
const COLOURS: Readonly<Record<string, string>> = {
  lockpin: '#1e8449',
  'five in a row': '#b9770e',
  'success rate': '#7d3c98',
};

/** Draws bars from p50 to p99; a cross where most faults were missed. */
export function plotDetection(rows: readonly SummaryRow[]): string {
  const shown = rows.filter(
    ({scenario}) => scenario !== 'nobody sick' && scenario !== 'all slow x3',
  );
  const height = shown.length * ROW_HEIGHT + 50;
  const x = (seconds: number): number =>
    PLOT_LEFT +
    (Math.min(seconds, MAXIMUM_SECONDS) / MAXIMUM_SECONDS) *
      (WIDTH - PLOT_LEFT - 20);
  const axis = Array.from({length: MAXIMUM_SECONDS + 1}, (_, s) =>
    text(x(s), 20, `${s} s`, 'middle'),
  );
  const bars = shown.map((row, i) => bar(row, 40 + i * ROW_HEIGHT, x));
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="11">`,
    '<rect width="100%" height="100%" fill="white"/>',
    ...axis,
    ...bars,
    '</svg>',
    '',
  ].join('\n');
}

function bar(
  row: SummaryRow,
  y: number,
  x: (seconds: number) => number,
): string {
  const label = `${row.service}, ${row.scenario}, ${row.detector}`;
  const colour = COLOURS[row.detector] ?? 'gray';
  const {detectionP50, detectionP99} = row;
  if (detectionP50 === undefined) {
    return (
      text(PLOT_LEFT - 8, y, label, 'end') +
      text(PLOT_LEFT + 4, y, '✕ mostly missed', 'start')
    );
  }
  const end = x(detectionP99 ?? MAXIMUM_SECONDS);
  const start = x(detectionP50);
  return (
    text(PLOT_LEFT - 8, y, label, 'end') +
    `<rect x="${start.toFixed(1)}" y="${y - 9}" width="${Math.max(2, end - start).toFixed(1)}" height="10" fill="${colour}"/>`
  );
}

function text(x: number, y: number, content: string, anchor: string): string {
  return `<text x="${x.toFixed(1)}" y="${y}" text-anchor="${anchor}">${content}</text>`;
}
