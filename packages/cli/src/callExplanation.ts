// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The story of one request, out of the log lines of all boxes. */

/** A line of a node's log, as far as the story needs it. */
export interface LogLine {
  readonly time: string;
  readonly event: string;
  readonly box: string;
  readonly requestId?: string;
  readonly [field: string]: unknown;
}

/** Events of a box that may explain a request, though they name none. */
const BELIEFS: ReadonlySet<string> = new Set([
  'node-started',
  'node-stopping',
  'node-stopped',
  'settings-reloaded',
  'settings-wrong',
  'configuration-in-force',
  'configuration-late',
  'store-lost',
  'store-read-hung',
  'store-regained',
  'store-restored',
  'store-answer-outdated',
  'own-record-lost',
  'peer-connection-renewed',
  'upstream-announced',
  'upstream-doubted',
  'upstream-trusted',
  'lines-left-out',
]);

/** Beliefs that changed so shortly before or during the request are shown. */
const BELIEF_MILLISECONDS = 2000;

/** Fields that every line has, or that are shown before the others. */
const SHOWN_FIRST: ReadonlySet<string> = new Set([
  'time',
  'event',
  'box',
  'dataCentre',
  'requestId',
  'attempts',
]);

/** Reads a line; undefined when it is none of a node's. */
export function readLogLine(text: string): LogLine | undefined {
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
 * The lines of a request in the order of their times, with what the boxes that
 * took part came to believe around then. Clocks differ from box to box by
 * milliseconds, so that neighbours may stand the wrong way round.
 */
export function explainCall(
  lines: readonly LogLine[],
  requestId: string,
): readonly string[] {
  const own = lines.filter((line) => line.requestId === requestId);
  if (own.length === 0) {
    return [];
  }
  const boxes = new Set(own.flatMap((line) => [line.box, ...offered(line)]));
  const times = own.map((line) => Date.parse(line.time));
  const from = Math.min(...times) - durationOf(own) - BELIEF_MILLISECONDS;
  const to = Math.max(...times);
  const beliefs = lines.filter((line) => {
    const time = Date.parse(line.time);
    return (
      BELIEFS.has(line.event) &&
      boxes.has(line.box) &&
      time >= from &&
      time <= to
    );
  });
  return [...own, ...beliefs]
    .sort((a, b) => Date.parse(a.time) - Date.parse(b.time))
    .flatMap(describe);
}

/** The boxes that a call was offered to. */
function offered(line: LogLine): readonly string[] {
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
  const head = `${line.time}  ${line.box}  ${line.event}  ${fields(line)}`;
  const attempts = attemptsOf(line).map(
    (attempt, i) =>
      `    offer ${i + 1} to ${String(attempt['box'])}: ${fields(attempt)}`,
  );
  return [head.trimEnd(), ...attempts];
}

function fields(values: Readonly<Record<string, unknown>>): string {
  return Object.entries(values)
    .filter(([name, value]) => !SHOWN_FIRST.has(name) && value !== '')
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ');
}
