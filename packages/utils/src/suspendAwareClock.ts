// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * A monotonic clock that includes the time for which its machine was suspended.
 */

/** Time sources of the clock; all in milliseconds. */
export interface ClockSources {
  /** Monotonic, but stops while the machine is suspended. */
  readonly steady: () => number;
  /**
   * Since 1970; advances during suspension, but may be set in either direction.
   */
  readonly timeOfDay: () => number;
  /** Advances during suspension and is never set, but is expensive to read. */
  readonly sinceBoot: () => number;
}

/**
 * If the time of day gains more than this on the steady clock between two
 * readings, the machine was suspended. Leases and other agreements between
 * boxes do not depend on shorter times, and a clock that is being slewed gains
 * half a millisecond per second.
 */
export const MINIMUM_SUSPENSION_MILLISECONDS = 250;

/**
 * A longer gap counts only as far as the time since boot confirms it. A shorter
 * one always counts: what expires because of it is renewed within seconds. An
 * error of an hour would expire all records of other boxes, which live for 15
 * minutes, and others would reject this node's own records, which they accept
 * up to 5 minutes ahead of time.
 */
export const MAXIMUM_UNCONFIRMED_MILLISECONDS = 120_000;

/**
 * Time between checks of the time of day. A check takes half as long as a
 * reading of this clock, and a call reads this clock some twenty times in one
 * event loop iteration.
 */
const CHECK_INTERVAL_MILLISECONDS = 1;

/**
 * Two clocks cannot be read at the same instant, and the process may not run in
 * between. Offsets that may be wrong by more than this are not kept.
 */
const MAXIMUM_UNCERTAINTY_MILLISECONDS = 10;

/** Attempts to read an offset with less uncertainty than that. */
const MAXIMUM_READINGS = 5;

/** Receives the length of a suspension that the clock includes from now on. */
export type SuspensionListener = (milliseconds: number) => void;

/** How far a clock is ahead of the steady one; all in milliseconds. */
interface ClockOffset {
  /** Never too large, but too small by up to the uncertainty. */
  readonly minimum: number;
  readonly uncertainty: number;
}

/**
 * Node.js has no clock that counts suspension: os.uptime() does, but comes from
 * a file that is read on each call and has a resolution of 10 ms. This clock
 * therefore compares the steady clock with the time of day and reads
 * os.uptime() only if they differ. Setting the time of day forwards looks like
 * a short suspension. Leases held by this box then expire too early, which is
 * recovered from quickly. Not counting the gap would be unsafe: a box suspended
 * for 60 s would still use leases that have been granted to others since.
 * Leases granted by this box must not expire too early; code that tracks them
 * subscribes to `onSuspension`. Setting the time of day backwards has no
 * effect.
 */
export class SuspendAwareClock {
  private readonly origin: number;
  private timeOfDayOffset: number;
  private sinceBootOffset: number;
  private checkedAt = Number.NEGATIVE_INFINITY;
  private suspended = 0;
  private readonly listeners = new Set<SuspensionListener>();

  constructor(private readonly sources: ClockSources) {
    this.origin = this.readCertainOffset(sources.timeOfDay).minimum;
    this.timeOfDayOffset = this.origin;
    this.sinceBootOffset = this.readCertainOffset(sources.sinceBoot).minimum;
  }

  /**
   * Calls the listener for each suspension, before any reading includes it;
   * returns a function that unsubscribes.
   */
  onSuspension(listener: SuspensionListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Time of day at the start, in milliseconds since 1970, plus all time elapsed
   * since.
   */
  now(): number {
    const steady = this.sources.steady();
    if (steady - this.checkedAt >= CHECK_INTERVAL_MILLISECONDS) {
      this.checkedAt = steady;
      this.checkTimeOfDay();
    }
    return this.origin + steady + this.suspended;
  }

  /**
   * An uncertain reading is compared, but not kept: the next gap would include
   * its error.
   */
  private checkTimeOfDay(): void {
    const {minimum, uncertainty} = this.readOffset(this.sources.timeOfDay);
    const gap = minimum - this.timeOfDayOffset;
    const isSuspension = gap > MINIMUM_SUSPENSION_MILLISECONDS;
    if (isSuspension || uncertainty <= MAXIMUM_UNCERTAINTY_MILLISECONDS) {
      this.timeOfDayOffset = minimum;
    }
    if (isSuspension) {
      this.countGap(gap);
    }
  }

  private countGap(gap: number): void {
    const {minimum} = this.readCertainOffset(this.sources.sinceBoot);
    const confirmed = minimum - this.sinceBootOffset;
    this.sinceBootOffset = minimum;
    const suspension = gap > MAXIMUM_UNCONFIRMED_MILLISECONDS ? confirmed : gap;
    if (suspension > MINIMUM_SUSPENSION_MILLISECONDS) {
      this.suspended += suspension;
      this.listeners.forEach((listener) => listener(suspension));
    }
  }

  private readOffset(source: () => number): ClockOffset {
    const before = this.sources.steady();
    const value = source();
    const after = this.sources.steady();
    return {minimum: value - after, uncertainty: after - before};
  }

  private readCertainOffset(source: () => number): ClockOffset {
    let best = this.readOffset(source);
    for (
      let readings = 1;
      readings < MAXIMUM_READINGS &&
      best.uncertainty > MAXIMUM_UNCERTAINTY_MILLISECONDS;
      readings += 1
    ) {
      const next = this.readOffset(source);
      best = next.uncertainty < best.uncertainty ? next : best;
    }
    return best;
  }
}
