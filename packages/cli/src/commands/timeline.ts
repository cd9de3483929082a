// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** lockpin timeline: shows the events of all nodes in causal order. */

import {writeFile} from 'node:fs/promises';
import type {TimelineEvent} from '@lockpin/types';
import {compareHybridTimes} from '@lockpin/utils';
import type {CommandContext} from '../commandContext.js';
import {EXIT_CODES} from '../exitCodes.js';
import type {ExitCode} from '../exitCodes.js';
import {createNodeClients} from '../nodeStatuses.js';
import {renderTimelineHtml} from '../renderTimelineHtml.js';

/** Values of the --format option. */
export const TIMELINE_FORMATS = ['text', 'jsonl', 'html'] as const;

/** Options of the command. */
export interface TimelineOptions {
  readonly format: (typeof TIMELINE_FORMATS)[number];
  /** Maximum age of the events, in seconds. */
  readonly seconds: number;
  /** Write to this file instead of the terminal. */
  readonly file: string | undefined;
}

/** Fetches, merges and prints the events. */
export async function timeline(
  context: CommandContext,
  {format, seconds, file}: TimelineOptions,
): Promise<ExitCode> {
  const clients = await createNodeClients(context.api);
  if (!clients.ok) {
    return context.fail(clients.failure);
  }
  const since = Date.now() - seconds * 1000;
  const answers = await Promise.all(
    clients.value.map((client) =>
      client.get<{readonly events: readonly TimelineEvent[]}>(
        `/timeline?since=${since}`,
      ),
    ),
  );
  const events = answers
    .flatMap((answer) => (answer.ok ? answer.value.events : []))
    .sort((a, b) => compareHybridTimes(a.time, b.time) || compareBoxes(a, b));
  const text = formatEvents(format, events);
  if (file === undefined) {
    context.terminal.out(text);
  } else {
    await writeFile(file, text);
  }
  return EXIT_CODES.success;
}

function compareBoxes(a: TimelineEvent, b: TimelineEvent): number {
  return a.box < b.box ? -1 : 1;
}

function formatEvents(
  format: TimelineOptions['format'],
  events: readonly TimelineEvent[],
): string {
  switch (format) {
    case 'text':
      return events.map((event) => `${formatEvent(event)}\n`).join('');
    case 'jsonl':
      return events.map((event) => `${JSON.stringify(event)}\n`).join('');
    case 'html':
      return renderTimelineHtml(events);
  }
}

/** Formats one event as a line of text. */
export function formatEvent({
  time,
  box,
  kind,
  subject,
  detail,
}: TimelineEvent): string {
  const clock = new Date(time.milliseconds).toISOString().slice(11, 23);
  const details = Object.entries(detail).map(([k, v]) => `${k}=${v}`);
  return [clock, box, kind, subject, ...details].join('  ');
}
