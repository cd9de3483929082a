// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** lockpin explain: traces one request through the logs of all boxes. */

import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {explainCall, parseLogLine} from '../callExplanation.js';
import type {LogLine} from '../callExplanation.js';
import type {CommandContext} from '../commandContext.js';
import {EXIT_CODES} from '../exitCodes.js';
import type {ExitCode} from '../exitCodes.js';

/** Options of the command. */
export interface ExplainOptions {
  readonly request: string;
  /** Log files; standard input if empty. */
  readonly log: readonly string[];
}

/** Reads the logs and prints the lines that concern the request. */
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
      const line = parseLogLine(text);
      if (line !== undefined) {
        lines.push(line);
      }
    }
  }
  const explanation = explainCall(lines, request);
  if (explanation.length === 0) {
    terminal.err(
      `no log line found for request ${request}; check that the logs of its boxes are included\n`,
    );
    return EXIT_CODES.notFound;
  }
  terminal.out(`${explanation.join('\n')}\n`);
  return EXIT_CODES.success;
}
