// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A steady clock that goes on while its machine is suspended. */

/** What the clock is made of; all in milliseconds. */
export interface ClockSources {
  /** Never jumps, but stands still while the machine is suspended. */
  readonly steady: () => number;
  /** Since 1970; goes on, and may be set forwards and backwards by anybody. */
  readonly timeOfDay: () => number;
  /** Goes on too and is never set, but costs much to read. */
  readonly sinceBoot: () => number;
}

/**
 * The time of day ran ahead of the steady clock by more than this from one reading to
 * the next: the machine was suspended. Nothing that is lent or promised between boxes is
 * timed more closely, and clocks that are slewed gain half a millisecond a second.
 */
export const SHORTEST_SUSPENSION_MILLISECONDS = 250;

/**
 * A longer gap counts only as far as the time since boot confirms it. A shorter one counts
 * in any case: what it makes lapse comes back within seconds. An hour of error would cost
 * a node all records of other boxes, which live for 15 minutes, and others its own, which
 * they believe up to 5 minutes ahead.
 */
export const LONGEST_UNCONFIRMED_MILLISECONDS = 120_000;

/**
 * Time between looks at the time of day, which take half as long as a reading; a call
 * reads the clock some twenty times in one turn of the loop.
 */
const LOOK_MILLISECONDS = 1;

/** Hears how many milliseconds of suspension are counted from now on. */
export type GainListener = (milliseconds: number) => void;

/**
 * Node.js has no clock that counts suspension: os.uptime() does, but comes from a file
 * that is read each time, in steps of 10 ms. So the gap between steady clock and time of day is watched, and the other is read only where there is one.
 * Time of day that is set forwards looks like a short suspension. Then what was lent to
 * this box lapses too early, which costs a moment; not to count would break promises: a
 * box that slept for 60 s would believe in loans that others have lent anew. What this box
 * has given out must not lapse too early: whoever counts that listens to `onGain`. Time of
 * day that is set backwards changes nothing.
 */
export class CountingClock {
  private readonly origin: number;
  private lead: number;
  private bootLead: number;
  private lookedAt = Number.NEGATIVE_INFINITY;
  private suspended = 0;
  private readonly listeners = new Set<GainListener>();

  constructor(private readonly sources: ClockSources) {
    const steady = sources.steady();
    this.origin = sources.timeOfDay() - steady;
    this.lead = this.origin;
    this.bootLead = sources.sinceBoot() - steady;
  }

  /**
   * Calls back with each suspension before any reading counts it; returns what ends that.
   */
  onGain(listener: GainListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
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
      this.noteGap(gained, steady);
    }
  }

  private noteGap(gap: number, steady: number): void {
    const bootLead = this.sources.sinceBoot() - steady;
    const confirmed = bootLead - this.bootLead;
    this.bootLead = bootLead;
    const counted = gap > LONGEST_UNCONFIRMED_MILLISECONDS ? confirmed : gap;
    if (counted > SHORTEST_SUSPENSION_MILLISECONDS) {
      this.suspended += counted;
      this.listeners.forEach((listener) => listener(counted));
    }
  }
}
