// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Checks that the event loops of nodes waited for work. */

import {readFileSync} from 'node:fs';
import {createViolation} from './soakHistory.js';
import type {Violation} from './soakHistory.js';

const BUSY_LINE = /^.*"event":"event-loop-busy".*$/gm;

/** Finds the times at which a node logged that its event loop did not wait. */
export function checkBusyLoops(
  box: string,
  logFile: string,
): readonly Violation[] {
  const lines = readFileSync(logFile, 'utf8').matchAll(BUSY_LINE);
  return [...lines].map(([line]) =>
    createViolation('event loops wait for work', box, line),
  );
}
