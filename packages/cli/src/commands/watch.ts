// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** lockpin watch: prints every change as it takes effect. */

import type {CommandContext} from '../commandContext.js';
import {EXIT_CODES} from '../exitCodes.js';
import type {ExitCode} from '../exitCodes.js';

/** Options of the command. */
export interface WatchOptions {
  /** Resume after this version; defaults to the current version. */
  readonly version: number | undefined;
}

/** Prints one JSON object per line until the watch ends. */
export async function watch(
  context: CommandContext,
  {version}: WatchOptions,
): Promise<ExitCode> {
  for await (const event of context.api.watch(version)) {
    context.terminal.out(`${JSON.stringify(event)}\n`);
    const {kind, type} = event as {
      readonly kind?: string;
      readonly type?: string;
    };
    if (kind === 'version-expired' || type === 'version-expired') {
      return EXIT_CODES.failed;
    }
  }
  return EXIT_CODES.success;
}
