// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Processor time of other processes, read from /proc. */

import {readFileSync} from 'node:fs';

/** Clock ticks per second in /proc on Linux. */
const TICKS_PER_SECOND = 100;

/** Processor time that a process has used, in seconds; 0 if it has exited. */
export function processorSeconds(pid: number): number {
  try {
    const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
    const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
    const user = Number(fields[11]);
    const system = Number(fields[12]);
    return (user + system) / TICKS_PER_SECOND;
  } catch {
    return 0;
  }
}
