// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Timers of a real process. */

/** Calls back again and again; returns what stops it. */
export function every(milliseconds: number, run: () => void): () => void {
  const timer = setInterval(run, milliseconds);
  return () => clearInterval(timer);
}
