// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Timers based on the event loop. */

/** Calls a function periodically; returns a function that stops it. */
export function every(milliseconds: number, run: () => void): () => void {
  const timer = setInterval(run, milliseconds);
  return () => clearInterval(timer);
}
