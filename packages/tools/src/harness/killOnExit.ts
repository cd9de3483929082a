// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Kills child processes when the tool that started them exits. */

import type {ChildProcess} from 'node:child_process';

const started = new Set<ChildProcess>();

process.once('exit', () => started.forEach((child) => child.kill('SIGKILL')));
process.once('SIGTERM', () => process.exit(1));
process.once('SIGINT', () => process.exit(1));

/** Kills a child process with SIGKILL when this process exits. */
export function killOnExit(child: ChildProcess): void {
  started.add(child);
  child.once('exit', () => started.delete(child));
}
