// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** State machine for the ejection of one upstream and its gradual return. */

import type {DetectionSettings} from './sensitivity.js';

/** State of an upstream in the cycle. */
export type CycleState = 'in-service' | 'condemned' | 'ejected' | 'probation';

/** Calls that must succeed before an upstream returns to service. */
export const PROBATION_CALLS = 8;

/** Upper limit of the duration of an ejection, in milliseconds. */
const MAXIMUM_HOLD_MILLISECONDS = 300_000;

/**
 * After this many milliseconds in service, the next ejection has the initial
 * duration again.
 */
const HOLD_RESET_MILLISECONDS = 600_000;

/** A state transition, as recorded in the timeline. */
export type CycleTransition =
  | 'condemned'
  | 'acquitted'
  | 'ejected'
  | 'probation-began'
  | 'returned'
  | 'hold-renewed'
  | 'permit-revoked';

/**
 * Ejects a condemned upstream once its permit is granted. The permit is kept
 * during probation, so that a relapse does not need a new one.
 */
export class EjectionCycle {
  private current: CycleState = 'in-service';
  private holdUntil = 0;
  private ejections = 0;
  private lastReturn = 0;
  private successes = 0;
  /** Time until which only repeatable calls may be probes. */
  private repeatableOnlyUntil = 0;
  /** Number of the current permit request; grants for others are ignored. */
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

  /** Milliseconds until the ejection ends and probation begins. */
  remainingHold(now: number): number {
    return this.current === 'ejected' ? Math.max(0, this.holdUntil - now) : 0;
  }

  setSettings(settings: DetectionSettings): void {
    this.settings = settings;
  }

  /** Applies the verdict on the evidence of real calls, while in service. */
  applyVerdict(condemned: boolean): CycleTransition | undefined {
    if (this.current === 'in-service' && condemned) {
      this.current = 'condemned';
      return 'condemned';
    }
    if (this.current === 'condemned' && !condemned) {
      return this.release('acquitted');
    }
    return undefined;
  }

  /** Handles the grant of a permit request by the permit holder. */
  granted(now: number, request: number): CycleTransition | undefined {
    if (this.current !== 'condemned' || request !== this.request) {
      return undefined;
    }
    this.current = 'ejected';
    if (now - this.lastReturn > HOLD_RESET_MILLISECONDS) {
      this.ejections = 0;
    }
    this.hold(now);
    return 'ejected';
  }

  /** Handles the revocation of the permit when the floor needs the slots. */
  revoked(now: number): CycleTransition | undefined {
    if (!this.holdsPermit) {
      return undefined;
    }
    this.lastReturn = now;
    return this.release('permit-revoked');
  }

  /** Begins probation once the ejection is over. */
  review(now: number): CycleTransition | undefined {
    if (this.current === 'ejected' && now >= this.holdUntil) {
      this.current = 'probation';
      this.successes = 0;
      this.restartRepeatableOnlyPeriod(now);
      return 'probation-began';
    }
    return undefined;
  }

  /**
   * Whether a call may probe an upstream on probation. Non-repeatable calls may
   * once the initial ejection duration has passed without a repeatable probe;
   * otherwise probation would never end in a service without repeatable calls.
   */
  mayProbe(now: number, isRepeatable: boolean): boolean {
    return (
      this.current === 'probation' &&
      (isRepeatable || now >= this.repeatableOnlyUntil)
    );
  }

  /** Records the outcome of a call that ended during probation. */
  recordProbe(
    now: number,
    well: boolean,
    isRepeatable = true,
  ): CycleTransition | undefined {
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
    this.repeatableOnlyUntil = now + this.settings.initialHoldMilliseconds;
  }

  private hold(now: number): void {
    const length = this.settings.initialHoldMilliseconds * 2 ** this.ejections;
    this.holdUntil = now + Math.min(MAXIMUM_HOLD_MILLISECONDS, length);
    this.ejections += 1;
  }

  /** Returns the permit; a grant that is still in transit no longer applies. */
  private release(change: CycleTransition): CycleTransition {
    this.current = 'in-service';
    this.request += 1;
    return change;
  }
}
