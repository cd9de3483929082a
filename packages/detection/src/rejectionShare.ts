// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Share of an upstream's recent calls that it rejected without running them. */

/** Weight of the latest call in the moving average. */
const CALL_WEIGHT = 0.15;

/** Time constant of the decay while no calls end, in milliseconds. */
const DECAY_MILLISECONDS = 5000;

/** Moving average over calls that also decays with time. */
export class RejectionShare {
  private share = 0;
  private observedAt = 0;

  /** Records whether the upstream rejected a call or ran it. */
  observe(now: number, wasRejected: boolean): void {
    const before = this.at(now);
    this.share = before + CALL_WEIGHT * ((wasRejected ? 1 : 0) - before);
    this.observedAt = now;
  }

  /** The share from 0 to 1. */
  at(now: number): number {
    const elapsed = Math.max(0, now - this.observedAt);
    return this.share * Math.exp(-elapsed / DECAY_MILLISECONDS);
  }
}
