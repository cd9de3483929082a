// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Failures of an upstream that calls of its own explain. */

/**
 * Time from the failure of a call that an upstream made to its own failure: two turns
 * of event loops on one box.
 */
const SAME_CAUSE_MILLISECONDS = 20;

/**
 * An upstream that needs a call of its own fails at once when that call does. Such a
 * failure tells of the service that was called, and nothing of this upstream. Calls
 * of the box's other callers cannot be told apart here: now and then one of them
 * excuses a failure that it did not cause.
 */
export class OwnCallFailures {
  private lastAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly isOn: boolean) {}

  /** A call that began on this box failed. */
  failed(now: number): void {
    this.lastAt = now;
  }

  /** Whether a failure of the upstream now follows from it. */
  explainsFailure(now: number): boolean {
    return this.isOn && now - this.lastAt <= SAME_CAUSE_MILLISECONDS;
  }
}
