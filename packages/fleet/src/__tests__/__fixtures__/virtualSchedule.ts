// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A virtual clock that runs tasks at their times. */

interface ScheduledTask {
  readonly at: number;
  readonly run: () => void;
}

/** Runs tasks in the order of their times, and of their scheduling. */
export class VirtualSchedule {
  private time: number;
  private tasks: ScheduledTask[] = [];

  constructor(start: number) {
    this.time = start;
  }

  get now(): number {
    return this.time;
  }

  schedule(milliseconds: number, run: () => void): void {
    const entry = {at: this.time + milliseconds, run};
    let low = 0;
    let high = this.tasks.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = this.tasks[middle] as ScheduledTask;
      if (other.at <= entry.at) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    this.tasks.splice(low, 0, entry);
  }

  /** Advances the clock and runs all tasks that are due. */
  run(milliseconds: number): void {
    const end = this.time + milliseconds;
    while ((this.tasks[0]?.at ?? Number.POSITIVE_INFINITY) <= end) {
      const next = this.tasks.shift() as ScheduledTask;
      this.time = Math.max(this.time, next.at);
      next.run();
    }
    this.time = end;
  }
}
