// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Failures of an upstream that are caused by failed calls of its own. */

/**
 * Maximum time from the failure of a call that an upstream made to its own
 * failure: two turns of event loops on one box.
 */
const SAME_CAUSE_MILLISECONDS = 20;

/**
 * An upstream that depends on a call of its own fails as soon as that call
 * fails. Such a failure is evidence about the service that was called, not
 * about this upstream. Calls by other callers on the box cannot be
 * distinguished here, so one of them sometimes excuses a failure that it did
 * not cause.
 */
export class OwnCallFailures {
  private failedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly isEnabled: boolean) {}

  /** Records that a call from this box failed. */
  failed(now: number): void {
    this.failedAt = now;
  }

  /** Whether a failure of the upstream now is attributed to such a call. */
  explainsFailure(now: number): boolean {
    return this.isEnabled && now - this.failedAt <= SAME_CAUSE_MILLISECONDS;
  }
}
