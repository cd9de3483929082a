// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Adapts the concurrency limit of an upstream to its answers. */

import type {ConcurrencyLimit} from './concurrencyLimit.js';

/** Multiplicative decrease when the upstream sheds a call. */
const SHED_FACTOR = 0.7;

/** Share of its slots that a cold upstream starts with. */
const COLD_SHARE = 0.25;

/** Growth of the limit over as many successful calls as it allows. */
const GROWTH_PER_ROUND = 1;

/** Additive increase, multiplicative decrease (AIMD), capped at the slots. */
export class AdaptiveLimit implements ConcurrencyLimit {
  private allowed: number;
  private lastShedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private slots: number,
    cold: boolean,
  ) {
    this.allowed = cold ? Math.max(1, slots * COLD_SHARE) : slots;
  }

  /** Concurrent calls allowed now; at least one. */
  get current(): number {
    return Math.max(1, Math.floor(this.allowed));
  }

  get loweredAt(): number | undefined {
    const isLowered = this.lastShedAt >= 0 && this.allowed < this.slots;
    return isLowered ? this.lastShedAt : undefined;
  }

  /** The operator changed the slots. */
  setSlots(slots: number): void {
    this.slots = slots;
    this.allowed = Math.min(this.allowed, slots);
  }

  /** Raises the limit after a successful call. */
  accepted(_now: number, _callId: string, isSuccess: boolean): void {
    if (isSuccess) {
      this.allowed = Math.min(
        this.slots,
        this.allowed + GROWTH_PER_ROUND / this.allowed,
      );
    }
  }

  /**
   * Lowers the limit after the upstream shed a call. Calls that started under
   * the previous limit do not lower it again.
   */
  shed(now: number, _callId: string, startedAt: number): void {
    if (startedAt >= this.lastShedAt) {
      this.allowed = Math.max(1, this.allowed * SHED_FACTOR);
      this.lastShedAt = now;
    }
  }

  /** Does nothing: only calls that were shed show overload. */
  rejected(): void {}

  /** Does nothing, as the limit changes with answers only. */
  advance(): void {}

  /** Does nothing, as the limit does not depend on the running calls. */
  sent(): void {}

  /** Does nothing, as the limit does not depend on the running calls. */
  ended(): void {}

  /** Resets the limit for an upstream that has returned and is cold. */
  resetToCold(): void {
    this.allowed = Math.max(1, this.slots * COLD_SHARE);
  }
}
