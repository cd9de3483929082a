// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A steady clock that goes on while its machine is suspended. */

/** What the clock is made of; both in milliseconds. */
export interface ClockSources {
  /** Never jumps, but stands still while the machine is suspended. */
  readonly steady: () => number;
  /** Since 1970; goes on, and may be set forwards and backwards by anybody. */
  readonly timeOfDay: () => number;
}

/**
 * The time of day ran ahead of the steady clock by more than this from one reading to
 * the next: the machine was suspended. Nothing that is lent or promised between boxes is
 * timed more closely, and clocks that are slewed gain half a millisecond a second.
 */
export const SHORTEST_SUSPENSION_MILLISECONDS = 250;

/**
 * Time between looks at the time of day, which take half as long as a reading; a call
 * reads the clock some twenty times in one turn of the loop.
 */
const LOOK_MILLISECONDS = 1;

/**
 * Node.js has no clock that counts suspension: os.uptime() does, but comes from a file
 * that is read each time (5.5 µs, 200,000 readings), in steps of 10 ms. So the gap between the two
 * clocks is watched. Time of day that is set forwards looks the same; then what was lent
 * lapses too early, which costs a moment, where the other error breaks promises: a box
 * that slept for 60 s would believe in loans that others have lent anew. Time of day that
 * is set backwards changes nothing.
 */
export class CountingClock {
  private readonly origin: number;
  private lead: number;
  private lookedAt = Number.NEGATIVE_INFINITY;
  private suspended = 0;
  private untold = 0;

  constructor(private readonly sources: ClockSources) {
    this.origin = sources.timeOfDay() - sources.steady();
    this.lead = this.origin;
  }

  /** Milliseconds since 1970 as they were at the start, and all time since. */
  now(): number {
    const steady = this.sources.steady();
    if (steady - this.lookedAt >= LOOK_MILLISECONDS) {
      this.lookedAt = steady;
      this.look(steady);
    }
    return this.origin + steady + this.suspended;
  }

  private look(steady: number): void {
    const lead = this.sources.timeOfDay() - steady;
    const gained = lead - this.lead;
    this.lead = lead;
    if (gained > SHORTEST_SUSPENSION_MILLISECONDS) {
      this.suspended += gained;
      this.untold += gained;
    }
  }

  /** Suspension that was noticed since this was last asked, in milliseconds. */
  takeSuspension(): number {
    this.now();
    const {untold} = this;
    this.untold = 0;
    return untold;
  }
}
