// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Looks through the calls in hand after the machine was suspended. */

import type {DecisionLog} from './decisionLog.js';

/** The clock counts suspension, timers do not: what is overdue ends at the next look. */
export class SuspensionReview {
  /** Suspension that the calls in hand were not looked through for, in milliseconds. */
  private suspended = 0;

  constructor(private readonly log: DecisionLog) {}

  /** The clock counts so much more from now on. */
  gained(milliseconds: number): void {
    this.suspended += milliseconds;
  }

  /** Calls back where calls may be overdue that no timer will end. */
  review(onSuspended: () => void): void {
    if (this.suspended > 0) {
      const milliseconds = Math.round(this.suspended);
      this.log.event('machine-suspended', {milliseconds});
      this.suspended = 0;
      onSuspended();
    }
  }
}
