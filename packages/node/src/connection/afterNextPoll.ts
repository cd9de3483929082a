// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Waits for input that has already come. */

/**
 * Calls back once the event loop has polled all connections again: for what comes
 * first on a new connection, or for the close that follows a request.
 */
export function afterNextPoll(done: () => void): void {
  setImmediate(() => setImmediate(done));
}
