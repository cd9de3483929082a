// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A clock that never jumps, for all that is measured from one moment to another. */

/**
 * Milliseconds since 1970 as they were when the process started, plus the time
 * since by the steady clock. The time of day may be set meanwhile; a deadline
 * must not move with it.
 */
export function steadyClock(): number {
  return performance.timeOrigin + performance.now();
}
