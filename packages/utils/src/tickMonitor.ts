// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Detects times for which the event loop of a process did not run. */

/** Options of a monitor; all in milliseconds. */
export interface TickMonitorOptions {
  /** Interval of the periodic timer that calls the monitor. */
  readonly interval: number;
  /** Shorter delays are not reported. */
  readonly minimumDelay: number;
}

/** Compares the times of a periodic timer with its interval. */
export class TickMonitor {
  private lastTickAt: number | undefined;

  constructor(private readonly options: TickMonitorOptions) {}

  /**
   * Returns by how many milliseconds this tick is late: the event loop was
   * blocked or not scheduled for at least as long. 0 if it is in time.
   */
  tick(now: number): number {
    const {interval, minimumDelay} = this.options;
    const delay = now - (this.lastTickAt ?? now) - interval;
    this.lastTickAt = now;
    return delay >= minimumDelay ? delay : 0;
  }
}
