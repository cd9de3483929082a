// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Sequential test for slowness over short time windows. */

import {CumulativeSum} from './cumulativeSum.js';

/**
 * Length of a window. A pause of a healthy upstream slows down all concurrent
 * calls, so single calls are not independent evidence of slowness; windows of
 * this length nearly are.
 */
export const WINDOW_MILLISECONDS = 200;

/** Overdue calls that make a window slow although no call has ended in it. */
const MINIMUM_OVERDUE = 2;

/** Bounds on the share of slow windows expected, and on the share to detect. */
const MINIMUM_EXPECTED_SHARE = 0.05;
const EXPECTED_SHARE_MARGIN = 1.5;
const MINIMUM_SUSPECT_SHARE = 0.6;
const MAXIMUM_EXPECTED_SHARE = 0.8;

/** Time constant of the decay: after so many windows one counts for a third. */
const DECAY_WINDOWS = 25;

/** Tests windows of calls; a window is slow when most of its calls are. */
export class SlownessTest {
  private readonly sum = new CumulativeSum();
  private slow = 0;
  private fast = 0;
  private windows = 0;
  private slowWindows = 0;

  get score(): number {
    return this.sum.score;
  }

  /** Share of recent windows that were slow. */
  get slowShare(): number {
    return this.windows === 0 ? 0 : this.slowWindows / this.windows;
  }

  /** Records a call that ended in the current window. */
  recordCall(isSlow: boolean): void {
    if (isSlow) {
      this.slow += 1;
    } else {
      this.fast += 1;
    }
  }

  /** Closes the window; overdue is the number of late calls still running. */
  closeWindow(
    now: number,
    overdue: number,
    peersSlowShare: number,
    maximum: number,
  ): void {
    const slow = this.slow + (overdue >= MINIMUM_OVERDUE ? overdue : 0);
    const {fast} = this;
    this.slow = 0;
    this.fast = 0;
    if (slow + fast === 0) {
      return;
    }
    const isSlow = slow > fast;
    this.recordWindow(isSlow);
    const expectedShare = Math.min(
      MAXIMUM_EXPECTED_SHARE,
      Math.max(MINIMUM_EXPECTED_SHARE, peersSlowShare * EXPECTED_SHARE_MARGIN),
    );
    const halfway = expectedShare + (1 - expectedShare) / 2;
    const suspectShare = Math.max(MINIMUM_SUSPECT_SHARE, halfway);
    this.sum.observe(now, isSlow, {expectedShare, suspectShare}, maximum);
  }

  reset(): void {
    this.sum.reset();
  }

  private recordWindow(isSlow: boolean): void {
    const decayFactor = 1 - 1 / DECAY_WINDOWS;
    this.windows = this.windows * decayFactor + 1;
    this.slowWindows = this.slowWindows * decayFactor + (isSlow ? 1 : 0);
  }
}
