// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Guards against using the constant part of a retry budget twice in one window
 * of real time. Setting the time of day forwards looks like a suspension of the
 * box; without a correction, the retries taken would expire with time that has
 * not passed.
 */

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {SuspendAwareClock} from '@lockpin/utils';
import {WindowedRetryBudget} from '../windowedRetryBudget.js';

const WINDOW = 5000;
const RATIO = 0.1;
const EXTRA = 5;

/** A box with its clocks, and the real times of its calls and retries. */
class RetryBudgetModel {
  private now = 1000;
  private steady = 50;
  private timeOfDay = 1_700_000_000_000;
  private readonly calls: number[] = [];
  private readonly retries: number[] = [];
  private readonly clock = new SuspendAwareClock({
    steady: () => this.steady,
    timeOfDay: () => this.timeOfDay,
    sinceBoot: () => this.now,
  });
  private readonly budget = new WindowedRetryBudget(() => ({
    ratio: RATIO,
    windowMilliseconds: WINDOW,
    extra: EXTRA,
  }));

  constructor() {
    this.clock.onSuspension((gain) => this.budget.clockGained(gain));
  }

  runs(milliseconds: number): void {
    this.steady += milliseconds;
    this.timeOfDay += milliseconds;
    this.now += milliseconds;
    this.clock.now();
  }

  sleeps(milliseconds: number): void {
    this.timeOfDay += milliseconds;
    this.now += milliseconds;
    this.runs(1);
  }

  setTimeOfDay(milliseconds: number): void {
    this.timeOfDay += milliseconds;
    this.runs(1);
  }

  call(): void {
    this.calls.push(this.now);
    this.budget.firstAttempt(this.clock.now());
  }

  /** Sends a retry if the budget allows it. */
  retry(): boolean {
    const isTaken = this.budget.takeRetry(this.clock.now());
    if (isTaken) {
      this.retries.push(this.now);
    }
    return isTaken;
  }

  /** Retries above the limit in the window that ends now. */
  excess(): number {
    const since = this.now - WINDOW;
    const calls = this.calls.filter((at) => at > since).length;
    const retries = this.retries.filter((at) => at > since).length;
    return retries - (calls * RATIO + EXTRA);
  }
}

const step = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constantFrom('call' as const, 'retry' as const),
      times: fc.integer({min: 1, max: 12}),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('run' as const),
      times: fc.integer({min: 1, max: 3000}),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constantFrom('sleep' as const, 'set' as const),
      times: fc.constantFrom(-7000, 300, 1000, 5000, 60_000),
    }),
  },
);

describe('retries of a window', () => {
  it('stay within their share through suspensions and steps of the clock', () => {
    fc.assert(
      fc.property(fc.array(step, {maxLength: 60}), (steps) => {
        const box = new RetryBudgetModel();
        for (const {kind, times} of steps) {
          for (let i = 0; i < times && kind === 'call'; i += 1) {
            box.call();
          }
          for (let i = 0; i < times && kind === 'retry'; i += 1) {
            if (box.retry()) {
              expect(box.excess()).toBeLessThanOrEqual(0);
            }
          }
          if (kind === 'run') {
            box.runs(times);
          } else if (kind === 'sleep') {
            box.sleeps(Math.abs(times));
          } else if (kind === 'set') {
            box.setTimeOfDay(times);
          }
        }
      }),
      {numRuns: 2000, seed: 11},
    );
  });
});
