// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Triggers a check of calls in flight after the machine was suspended. */

import type {DecisionLog} from './decisionLog.js';

/**
 * Timers do not include suspensions, but the clock does, so deadlines may have
 * passed.
 */
export class SuspensionMonitor {
  /** Suspension since the last check of calls in flight, in milliseconds. */
  private suspended = 0;

  constructor(private readonly log: DecisionLog) {}

  /** Adds a suspension that the clock now includes. */
  addSuspension(milliseconds: number): void {
    this.suspended += milliseconds;
  }

  /**
   * Logs a suspension and calls back if calls may be overdue without a timer
   * firing.
   */
  handleSuspension(onSuspended: () => void): void {
    if (this.suspended > 0) {
      const milliseconds = Math.round(this.suspended);
      this.log.event('machine-suspended', {milliseconds});
      this.suspended = 0;
      onSuspended();
    }
  }
}
