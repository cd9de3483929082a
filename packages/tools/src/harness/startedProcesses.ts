// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Processes that the tools started; none outlives the tool that started it. */

import type {ChildProcess} from 'node:child_process';

const started = new Set<ChildProcess>();

process.once('exit', () => started.forEach((child) => child.kill('SIGKILL')));
process.once('SIGTERM', () => process.exit(1));
process.once('SIGINT', () => process.exit(1));

/** Ends a process together with this one, at the latest. */
export function endTogetherWith(child: ChildProcess): void {
  started.add(child);
  child.once('exit', () => started.delete(child));
}
