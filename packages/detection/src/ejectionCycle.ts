// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The way of one upstream out of service and, cautiously, back. */

import type {DetectionSettings} from './sensitivity.js';

/** Where an upstream stands. */
export type CycleState = 'in-service' | 'condemned' | 'ejected' | 'probation';

/** Calls that must end well before an upstream is back in service. */
export const PROBATION_CALLS = 8;

/** Holds grow up to this, in milliseconds. */
const LONGEST_HOLD = 300_000;

/** In service this long, an earlier ejection is forgotten. */
const FORGIVEN_AFTER = 600_000;

/** What a transition led to, for the time line. */
export type CycleChange =
  | 'condemned'
  | 'acquitted'
  | 'ejected'
  | 'probation-began'
  | 'returned'
  | 'hold-renewed'
  | 'permit-revoked';

/**
 * A condemned upstream is ejected once its permit is there. The permit is kept
 * through probation, so that a relapse needs no new one.
 */
export class EjectionCycle {
  private current: CycleState = 'in-service';
  private holdUntil = 0;
  private ejections = 0;
  private lastReturn = 0;
  private successes = 0;
  /** Until then, only repeatable calls may be probes. */
  private repeatableOnlyUntil = 0;
  /** Number of the request for a permit; grants of others are ignored. */
  private request = 0;

  constructor(private settings: DetectionSettings) {}

  get state(): CycleState {
    return this.current;
  }

  get requestNumber(): number {
    return this.request;
  }

  /** Whether the permit counts against the floor. */
  get holdsPermit(): boolean {
    return this.current === 'ejected' || this.current === 'probation';
  }

  /** Milliseconds until new work may be worth offering. */
  remainingHold(now: number): number {
    return this.current === 'ejected' ? Math.max(0, this.holdUntil - now) : 0;
  }

  setSettings(settings: DetectionSettings): void {
    this.settings = settings;
  }

  /** The evidence of real calls, while in service. */
  judged(condemned: boolean): CycleChange | undefined {
    if (this.current === 'in-service' && condemned) {
      this.current = 'condemned';
      return 'condemned';
    }
    if (this.current === 'condemned' && !condemned) {
      return this.release('acquitted');
    }
    return undefined;
  }

  /** The permit holder granted a request. */
  granted(now: number, request: number): CycleChange | undefined {
    if (this.current !== 'condemned' || request !== this.request) {
      return undefined;
    }
    this.current = 'ejected';
    if (now - this.lastReturn > FORGIVEN_AFTER) {
      this.ejections = 0;
    }
    this.hold(now);
    return 'ejected';
  }

  /** The floor needs this upstream back. */
  revoked(now: number): CycleChange | undefined {
    if (!this.holdsPermit) {
      return undefined;
    }
    this.lastReturn = now;
    return this.release('permit-revoked');
  }

  /** Time passed. */
  review(now: number): CycleChange | undefined {
    if (this.current === 'ejected' && now >= this.holdUntil) {
      this.current = 'probation';
      this.successes = 0;
      this.restartRepeatableOnlyPeriod(now);
      return 'probation-began';
    }
    return undefined;
  }

  /**
   * Whether a call may probe an upstream on probation. Non-repeatable calls may once
   * the first hold has passed without a repeatable probe; otherwise probation would
   * never end in a service without repeatable calls.
   */
  mayProbe(now: number, isRepeatable: boolean): boolean {
    return (
      this.current === 'probation' &&
      (isRepeatable || now >= this.repeatableOnlyUntil)
    );
  }

  /** Records the outcome of a call that ended during probation. */
  probed(
    now: number,
    well: boolean,
    isRepeatable = true,
  ): CycleChange | undefined {
    if (this.current !== 'probation') {
      return undefined;
    }
    if (isRepeatable) {
      this.restartRepeatableOnlyPeriod(now);
    }
    if (!well) {
      this.current = 'ejected';
      this.hold(now);
      return 'hold-renewed';
    }
    this.successes += 1;
    if (this.successes < PROBATION_CALLS) {
      return undefined;
    }
    this.lastReturn = now;
    return this.release('returned');
  }

  private restartRepeatableOnlyPeriod(now: number): void {
    this.repeatableOnlyUntil = now + this.settings.firstHold;
  }

  private hold(now: number): void {
    const length = this.settings.firstHold * 2 ** this.ejections;
    this.holdUntil = now + Math.min(LONGEST_HOLD, length);
    this.ejections += 1;
  }

  /** Gives the permit back; a grant still under way no longer counts. */
  private release(change: CycleChange): CycleChange {
    this.current = 'in-service';
    this.request += 1;
    return change;
  }
}
