// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Whether a process has a handler for SIGHUP, as the kernel reports it. */

import {readFileSync} from 'node:fs';

/** The bit of SIGHUP, which is signal 1, in a mask of signals. */
const HANGUP_BIT = 1n;

/**
 * Returns false if the process has no handler or has ended. Signals end a
 * process by default until its program has installed handlers.
 */
export function catchesHangup(pid: number): boolean {
  let status: string;
  try {
    status = readFileSync(`/proc/${pid}/status`, 'utf8');
  } catch {
    // The process has ended.
    return false;
  }
  const caught = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? '0';
  return (BigInt(`0x${caught}`) & HANGUP_BIT) !== 0n;
}
