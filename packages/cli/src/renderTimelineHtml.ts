// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Renders a timeline as a self-contained HTML page with inline SVG. */

import type {TimelineEvent} from '@lockpin/types';

const LANE_HEIGHT_PIXELS = 28;
const LEFT_MARGIN = 140;
const WIDTH = 1200;
const TOP_MARGIN = 40;

const COLOURS: readonly (readonly [RegExp, string])[] = [
  [/ejected|condemned|dead|differs|corrupt|lost/, '#c0392b'],
  [/suspect|conflict|refused|revoked|leaving|restored/, '#d68910'],
  [/returned|ready|alive|accepted|acquitted/, '#1e8449'],
];

/** Renders one lane for each box, with a mark for each event. */
export function renderTimelineHtml(events: readonly TimelineEvent[]): string {
  const boxes = [...new Set(events.map(({box}) => box))].sort();
  const times = events.map(({time}) => time.milliseconds);
  const start = times.length === 0 ? 0 : Math.min(...times);
  const end = Math.max(...times, start + 1);
  const x = (time: number): number =>
    LEFT_MARGIN + ((time - start) / (end - start)) * (WIDTH - LEFT_MARGIN - 20);
  const y = (box: string): number =>
    TOP_MARGIN + boxes.indexOf(box) * LANE_HEIGHT_PIXELS;
  const lanes = boxes.map(
    (box) =>
      `<text x="8" y="${y(box) + 4}">${escapeText(box)}</text>` +
      `<line x1="${LEFT_MARGIN}" x2="${WIDTH - 20}" y1="${y(box)}" y2="${y(box)}" stroke="#ddd"/>`,
  );
  const marks = events.map(
    (event) =>
      `<circle cx="${x(event.time.milliseconds).toFixed(1)}" cy="${y(event.box)}" r="4" fill="${colour(event.kind)}"><title>${escapeText(title(event, start))}</title></circle>`,
  );
  const height = TOP_MARGIN + boxes.length * LANE_HEIGHT_PIXELS;
  const rows = events.map(
    (event) => `<tr><td>${escapeText(title(event, start))}</td></tr>`,
  );
  return [
    '<!doctype html><meta charset="utf-8"><title>lockpin time line</title>',
    '<style>body{font:13px sans-serif}svg text{font-size:12px}td{border-top:1px solid #eee}</style>',
    `<h1>lockpin time line</h1><p>${events.length} events in ${((end - start) / 1000).toFixed(1)} s, from ${new Date(start).toISOString()}</p>`,
    `<svg width="${WIDTH}" height="${height}">${lanes.join('')}${marks.join('')}</svg>`,
    `<table>${rows.join('')}</table>`,
    '',
  ].join('\n');
}

function title(event: TimelineEvent, start: number): string {
  const seconds = ((event.time.milliseconds - start) / 1000).toFixed(3);
  const detail = Object.entries(event.detail).map(([k, v]) => `${k}=${v}`);
  return [`+${seconds}s`, event.box, event.kind, event.subject, ...detail].join(
    ' ',
  );
}

function colour(kind: string): string {
  return COLOURS.find(([pattern]) => pattern.test(kind))?.[1] ?? '#2874a6';
}

function escapeText(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;');
}
