// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Outcomes reported to callers, for comparison with the actual executions. */

/** Outcome of one attempt as reported to the caller. */
export type ReportedOutcome = 'answered' | 'not-run' | 'unknown' | 'cut';

/** One request sent by a caller. */
export interface AttemptRecord {
  /** Request identity as received by the upstream. */
  readonly requestId: string;
  readonly box: string;
  readonly outcome: ReportedOutcome;
  readonly reason: string;
  readonly status: number;
  /** True if the answer belongs to another request. */
  readonly isCrossed: boolean;
  /** Milliseconds that lockpin added to the upstream's processing time. */
  readonly addedMilliseconds: number | undefined;
  readonly startedAt: number;
}

/** One work item of a caller, with all its attempts. */
export interface CallRecord {
  readonly id: string;
  readonly repetition: 'repeatable' | 'once-only';
  readonly attempts: readonly AttemptRecord[];
}

/** Outcome of the last attempt; cut if there was none. */
export function finalOutcome(call: CallRecord): ReportedOutcome {
  return call.attempts.at(-1)?.outcome ?? 'cut';
}
