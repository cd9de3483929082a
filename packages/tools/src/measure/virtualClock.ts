// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Discrete-event clock: time advances only when a scheduled event runs. */

import TinyQueue from 'tinyqueue';

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Runs events by due time, and those due together in scheduling order. */
export class VirtualClock {
  private time = 0;
  private order = 0;
  private readonly queue = new TinyQueue<ScheduledEvent>(
    [],
    (a, b) => a.at - b.at || a.order - b.order,
  );

  /** Milliseconds since the start. */
  get now(): number {
    return this.time;
  }

  /** Number of events scheduled so far, including those that have run. */
  get scheduledCount(): number {
    return this.order;
  }

  /** Schedules an event after a delay in milliseconds. */
  schedule(delay: number, run: () => void): void {
    this.order += 1;
    this.queue.push({at: this.time + delay, order: this.order, run});
  }

  /** Runs events due until `end` milliseconds inclusive; drops the next one. */
  runUntil(end: number): void {
    for (let next = this.queue.pop(); next; next = this.queue.pop()) {
      if (next.at > end) {
        break;
      }
      this.time = next.at;
      next.run();
    }
  }
}
