// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Distributes measurement tasks over worker processes. */

import {fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import type {MeasureOutcome, MeasureTask} from './measureTask.js';

const WORKER = fileURLToPath(new URL('./worker.js', import.meta.url));

/** Runs all tasks on the given number of worker processes. */
export async function runTasks(
  tasks: readonly MeasureTask[],
  processes: number,
  onOutcome: (outcome: MeasureOutcome, done: number) => void,
): Promise<void> {
  const queuedTasks = [...tasks];
  let done = 0;
  await Promise.all(
    Array.from({length: processes}, async () => {
      const worker = fork(WORKER);
      for (let task = queuedTasks.shift(); task; task = queuedTasks.shift()) {
        const outcome = await new Promise<MeasureOutcome>((resolve, reject) => {
          worker.once('message', (message) =>
            resolve(message as MeasureOutcome),
          );
          worker.once('exit', reject);
          worker.send(task as MeasureTask);
        });
        worker.removeAllListeners('exit');
        done += 1;
        onOutcome(outcome, done);
      }
      worker.disconnect();
    }),
  );
}
