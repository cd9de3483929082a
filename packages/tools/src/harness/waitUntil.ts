// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Polls a condition. */

import {setTimeout as pause} from 'node:timers/promises';

const POLL_INTERVAL_MILLISECONDS = 10;
const DEFAULT_TIMEOUT_MILLISECONDS = 30_000;

/** Resolves once the condition holds; rejects when the timeout expires. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  timeoutMilliseconds = DEFAULT_TIMEOUT_MILLISECONDS,
): Promise<void> {
  const deadline = Date.now() + timeoutMilliseconds;
  while (!(await condition())) {
    if (Date.now() > deadline) {
      throw new Error(
        `condition not met within ${timeoutMilliseconds} ms: ${condition.toString()}`,
      );
    }
    await pause(POLL_INTERVAL_MILLISECONDS);
  }
}
