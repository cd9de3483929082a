// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** lockpin explain: what became of one request, from the logs of all boxes. */

import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {explainCall, readLogLine} from '../callExplanation.js';
import type {LogLine} from '../callExplanation.js';
import type {CommandContext} from '../commandContext.js';
import {EXIT_CODES} from '../exitCodes.js';
import type {ExitCode} from '../exitCodes.js';

/** Options of the command. */
export interface ExplainOptions {
  readonly request: string;
  /** Files of log lines; standard input when there are none. */
  readonly log: readonly string[];
}

/** Reads the logs and prints the request's story. */
export async function explain(
  {terminal}: CommandContext,
  {request, log}: ExplainOptions,
): Promise<ExitCode> {
  const inputs =
    log.length === 0
      ? [process.stdin]
      : log.map((file) => createReadStream(file));
  const lines: LogLine[] = [];
  for (const input of inputs) {
    for await (const text of createInterface({input})) {
      const line = readLogLine(text);
      if (line !== undefined) {
        lines.push(line);
      }
    }
  }
  const story = explainCall(lines, request);
  if (story.length === 0) {
    terminal.err(
      `no line names request ${request}; was its box's log among the files?\n`,
    );
    return EXIT_CODES.notFound;
  }
  terminal.out(`${story.join('\n')}\n`);
  return EXIT_CODES.success;
}
