// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Runs a soak in a process of its own. Checking a history takes up to some
 * seconds on a busy machine, in which no other soak of the same process would
 * serve its callers.
 */

import {fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import type {SoakSize} from './faultPlan.js';
import type {SoakResult} from './runSoak.js';

const SOAK_PROCESS = fileURLToPath(new URL('soakProcess.js', import.meta.url));

/** What a soak process runs. */
export interface SoakOrder {
  readonly seed: number;
  readonly size: SoakSize;
  /** Folder for the settings and logs of its nodes. */
  readonly folder: string;
}

/**
 * Returns the result of the soak; rejects if its process ended without one. It
 * ends with this process.
 */
export function runSoakProcess(order: SoakOrder): Promise<SoakResult> {
  return new Promise((resolve, reject) => {
    const child = fork(SOAK_PROCESS, [JSON.stringify(order)]);
    child.once('message', (result) => resolve(result as SoakResult));
    child.once('error', reject);
    child.once('exit', (code, signal) =>
      reject(
        new Error(
          `soak ${order.seed} ended without a result: exit code ${String(code)}, signal ${String(signal)}`,
        ),
      ),
    );
  });
}
