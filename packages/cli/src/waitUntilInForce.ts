// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Waits until a version is in force on every node. */

import type {ApiClient} from './apiClient.js';

interface WatchEvent {
  readonly type: string;
  readonly version: number;
  readonly isEverywhere?: boolean;
}

/** Resolves once the watch reports the version as in force everywhere. */
export async function waitUntilInForce(
  api: ApiClient,
  version: number,
): Promise<void> {
  for await (const line of api.watch(version - 1)) {
    const event = line as WatchEvent;
    const isDone = event.type === 'in-force' && event.isEverywhere === true;
    if (isDone && event.version >= version) {
      return;
    }
  }
}
