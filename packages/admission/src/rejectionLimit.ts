// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Lowers the concurrency of an upstream only where that avoids rejections. */

import {AdaptiveLimit} from './adaptiveLimit.js';
import type {ConcurrencyLimit} from './concurrencyLimit.js';
import {HALF_LIFE_MILLISECONDS, RejectionRecord} from './rejectionRecord.js';

/**
 * Evidence at which the limit is lowered: the calls are 400 times as likely if
 * concurrency causes the rejections. It is tested at each rejection and level.
 */
const FIRST_EVIDENCE = 6;

/**
 * Evidence at which a limit that is being raised is lowered again: overload was
 * shown before, so that one rejected call above the limit is enough.
 */
const RENEWED_EVIDENCE = 1.5;

/** Time for which a lowered limit is kept; doubles with each lowering. */
const FIRST_HOLD_MILLISECONDS = 500;

/** The evidence of the last attempt to raise the limit still counts half. */
const MAXIMUM_HOLD_MILLISECONDS = HALF_LIFE_MILLISECONDS;

/**
 * Time between raises, each twice as large as the one before. An upstream
 * rejects a call within milliseconds.
 */
const RAISE_INTERVAL_MILLISECONDS = 250;

/**
 * Compares the rejections of calls by the concurrency at which they were sent.
 * Growth of a cold upstream is that of AdaptiveLimit.
 */
export class RejectionLimit implements ConcurrencyLimit {
  private readonly growth: AdaptiveLimit;
  private readonly record = new RejectionRecord();
  private readonly running = new Set<string>();
  /** Concurrency of sent calls that may still be rejected, oldest first. */
  private readonly undecided = new Map<string, number>();
  private allowed: number;
  private hold = 0;
  private nextRaise = 1;
  private raiseAt = 0;
  private lastLoweredAt = 0;

  constructor(
    private slots: number,
    isCold: boolean,
  ) {
    this.allowed = slots;
    this.growth = new AdaptiveLimit(slots, isCold);
  }

  get current(): number {
    return Math.min(this.allowed, this.growth.current);
  }

  get loweredAt(): number | undefined {
    return this.allowed < this.slots ? this.lastLoweredAt : undefined;
  }

  setSlots(slots: number): void {
    const isLowered = this.allowed < this.slots;
    this.allowed = isLowered ? Math.min(this.allowed, slots) : slots;
    this.slots = slots;
    this.growth.setSlots(slots);
  }

  advance(now: number): void {
    while (this.allowed < this.slots && now >= this.raiseAt) {
      this.allowed = Math.min(this.slots, this.allowed + this.nextRaise);
      this.nextRaise *= 2;
      this.raiseAt += RAISE_INTERVAL_MILLISECONDS;
    }
    if (this.allowed === this.slots) {
      this.hold = 0;
    }
  }

  sent(callId: string): void {
    this.running.add(callId);
    this.undecided.set(callId, this.running.size);
  }

  accepted(now: number, callId: string, isSuccess: boolean): void {
    this.decided(now, callId, false);
    if (isSuccess) {
      this.growth.accepted(now, callId, isSuccess);
    }
  }

  shed(now: number, callId: string): void {
    this.rejected(now, callId);
  }

  /**
   * Running calls that were sent before the rejected one have been accepted.
   * Without them, long calls would count only once they have ended, and
   * overload would not show before.
   */
  rejected(now: number, callId: string): void {
    if (!this.undecided.has(callId)) {
      return;
    }
    for (const earlier of this.undecided.keys()) {
      if (earlier === callId) {
        break;
      }
      this.decided(now, earlier, false);
    }
    this.decided(now, callId, true);
    this.lowerIfOverloaded(now);
  }

  ended(callId: string): void {
    this.running.delete(callId);
    this.undecided.delete(callId);
  }

  resetToCold(): void {
    this.growth.resetToCold();
  }

  private decided(now: number, callId: string, isRejected: boolean): void {
    const level = this.undecided.get(callId);
    if (level !== undefined) {
      this.undecided.delete(callId);
      this.record.count(now, level, isRejected);
    }
  }

  private lowerIfOverloaded(now: number): void {
    const isLowered = this.allowed < this.slots;
    const level = this.record.overloadLevel(
      isLowered ? RENEWED_EVIDENCE : FIRST_EVIDENCE,
    );
    if (level === undefined || level >= this.allowed) {
      return;
    }
    this.allowed = Math.max(1, level);
    this.hold = Math.min(
      MAXIMUM_HOLD_MILLISECONDS,
      Math.max(FIRST_HOLD_MILLISECONDS, this.hold * 2),
    );
    this.lastLoweredAt = now;
    this.nextRaise = 1;
    this.raiseAt = now + this.hold;
  }
}
