// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Reconstructs the course of one request from the logs of all boxes. */

/** A line of a node's log; the declared fields are the ones read here. */
export interface LogLine {
  readonly time: string;
  readonly event: string;
  readonly box: string;
  readonly requestId?: string;
  readonly [field: string]: unknown;
}

/** Events without a request identifier that can explain how a call ended. */
const CONTEXT_EVENTS: ReadonlySet<string> = new Set([
  'node-started',
  'node-stopping',
  'node-stopped',
  'settings-reloaded',
  'settings-wrong',
  'configuration-in-force',
  'configuration-late',
  'reader-contact',
  'store-lost',
  'store-read-hung',
  'store-regained',
  'store-restored',
  'store-answer-outdated',
  'own-record-lost',
  'peer-connection-renewed',
  'upstream-announced',
  'upstream-doubted',
  'upstream-leaving',
  'upstream-limit-ended',
  'upstream-limit-unreadable',
  'upstream-limited',
  'upstream-trusted',
  'lines-left-out',
]);

/** Context events are shown from this long before a request until its end. */
const CONTEXT_WINDOW_MILLISECONDS = 2000;

/** Fields left out of the name=value list: constant, or shown elsewhere. */
const OMITTED_FIELDS: ReadonlySet<string> = new Set([
  'time',
  'event',
  'box',
  'dataCentre',
  'requestId',
  'attempts',
]);

/** Parses a log line; undefined if it is not a node's log entry. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) {
    return undefined;
  }
  try {
    const value = JSON.parse(text.slice(start)) as Partial<LogLine>;
    const isLine =
      typeof value.time === 'string' && typeof value.event === 'string';
    return isLine ? (value as LogLine) : undefined;
  } catch (error) {
    if (error instanceof SyntaxError) {
      return undefined;
    }
    throw error;
  }
}

/**
 * Returns the lines of a request sorted by time, with the context events of the
 * boxes involved. Clocks differ between boxes by milliseconds, so adjacent
 * lines may be out of order.
 */
export function explainCall(
  lines: readonly LogLine[],
  requestId: string,
): readonly string[] {
  const own = lines.filter((line) => line.requestId === requestId);
  if (own.length === 0) {
    return [];
  }
  const boxes = new Set(
    own.flatMap((line) => [line.box, ...offeredBoxes(line)]),
  );
  const times = own.map((line) => Date.parse(line.time));
  const from =
    Math.min(...times) - durationOf(own) - CONTEXT_WINDOW_MILLISECONDS;
  const to = Math.max(...times);
  const contextLines = lines.filter((line) => {
    const time = Date.parse(line.time);
    return (
      CONTEXT_EVENTS.has(line.event) &&
      boxes.has(line.box) &&
      time >= from &&
      time <= to
    );
  });
  return [...own, ...contextLines]
    .sort((a, b) => Date.parse(a.time) - Date.parse(b.time))
    .flatMap(describe);
}

/** The boxes to which the call was offered. */
function offeredBoxes(line: LogLine): readonly string[] {
  return attemptsOf(line).map(({box}) => String(box));
}

function attemptsOf(
  line: LogLine,
): readonly Readonly<Record<string, unknown>>[] {
  return Array.isArray(line['attempts']) ? line['attempts'] : [];
}

function durationOf(lines: readonly LogLine[]): number {
  return Math.max(...lines.map((line) => Number(line['milliseconds'] ?? 0)));
}

function describe(line: LogLine): readonly string[] {
  const summaryLine = `${line.time}  ${line.box}  ${line.event}  ${fields(line)}`;
  const attempts = attemptsOf(line).map(
    (attempt, i) =>
      `    offer ${i + 1} to ${String(attempt['box'])}: ${fields(attempt)}`,
  );
  return [summaryLine.trimEnd(), ...attempts];
}

function valueText(value: unknown): string {
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

function fields(values: Readonly<Record<string, unknown>>): string {
  return Object.entries(values)
    .filter(([name, value]) => !OMITTED_FIELDS.has(name) && value !== '')
    .map(([name, value]) => `${name}=${valueText(value)}`)
    .join(' ');
}
