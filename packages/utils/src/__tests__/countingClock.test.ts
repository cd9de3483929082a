// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The clock during suspensions and while the time of day is set or slewed. */

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  SuspendAwareClock,
  MINIMUM_SUSPENSION_MILLISECONDS,
} from '../suspendAwareClock.js';

class Machine {
  steady = 50;
  timeOfDay = 1_700_000_000_000;
  sinceBoot = 7000;
  /** For how long the process does not run around the next reading. */
  private interruption = {before: 0, after: 0};
  readonly clock = new SuspendAwareClock({
    steady: () => this.steady,
    timeOfDay: () => this.readInterrupted(),
    sinceBoot: () => this.sinceBoot,
  });

  run(milliseconds: number): void {
    this.steady += milliseconds;
    this.timeOfDay += milliseconds;
    this.sinceBoot += milliseconds;
  }

  suspend(milliseconds: number): void {
    this.timeOfDay += milliseconds;
    this.sinceBoot += milliseconds;
  }

  setTimeOfDay(milliseconds: number): void {
    this.timeOfDay += milliseconds;
  }

  interruptNextReading(before: number, after: number): void {
    this.interruption = {before, after};
  }

  private readInterrupted(): number {
    const {before, after} = this.interruption;
    this.interruption = {before: 0, after: 0};
    this.run(before);
    const value = this.timeOfDay;
    this.run(after);
    return value;
  }

  /** Returns the milliseconds by which the clock advances during an action. */
  elapsed(action: () => void): number {
    const before = this.clock.now();
    action();
    return this.clock.now() - before;
  }
}

describe('the clock', () => {
  it.each([1000, 5000, 60_000, 36_000_000])(
    'counts a suspension of %i ms',
    (suspended) => {
      const machine = new Machine();
      const suspensions: number[] = [];
      const unsubscribe = machine.clock.onSuspension((milliseconds) =>
        suspensions.push(milliseconds),
      );
      const elapsed = machine.elapsed(() => {
        machine.run(100);
        machine.suspend(suspended);
        machine.run(20);
      });
      expect(elapsed).toBe(suspended + 120);
      machine.clock.now();
      expect(suspensions).toEqual([suspended]);
      unsubscribe();
      machine.elapsed(() => {
        machine.suspend(suspended);
        machine.run(20);
      });
      expect(suspensions).toEqual([suspended]);
    },
  );

  it('does not move with time of day that is set backwards', () => {
    const machine = new Machine();
    const elapsed = machine.elapsed(() => {
      machine.setTimeOfDay(-7000);
      machine.run(10);
    });
    expect(elapsed).toBe(10);
  });

  /*
   * Guards against taking a time of day that is set forwards by an hour for a
   * suspension: a gap between the two clocks does not tell which of them moved.
   * All records of other boxes would expire after 15 minutes, and the box's own
   * records would be dated further ahead than the 5 minutes that others accept,
   * until the process restarts.
   */
  it('does not move with time of day that is set forwards by an hour', () => {
    const machine = new Machine();
    const elapsed = machine.elapsed(() => {
      machine.setTimeOfDay(3_600_000);
      machine.run(10);
    });
    expect(elapsed).toBe(10);
  });

  it('does not gain time while the time of day is slewed for hours', () => {
    const machine = new Machine();
    const elapsed = machine.elapsed(() => {
      for (let i = 0; i < 50_000; i += 1) {
        machine.run(200);
        machine.setTimeOfDay(0.1);
        machine.clock.now();
      }
    });
    expect(elapsed).toBeCloseTo(10_000_000, 3);
  });

  it('never goes back and includes every suspension while the time of day is set', () => {
    const step = fc.record({
      run: fc.integer({min: 1, max: 400}),
      suspend: fc.oneof(fc.constant(0), fc.integer({min: 300, max: 60_000})),
      setBackBy: fc.oneof(fc.constant(0), fc.integer({min: 1, max: 5000})),
    });
    fc.assert(
      fc.property(fc.array(step), (steps) => {
        const machine = new Machine();
        for (const {run, suspend, setBackBy} of steps) {
          const elapsed = machine.elapsed(() => {
            machine.run(run);
            machine.suspend(suspend);
          });
          expect(elapsed).toBe(run + suspend);
          const afterwards = machine.elapsed(() => {
            machine.setTimeOfDay(-setBackBy);
            machine.run(1);
          });
          expect(afterwards).toBe(1);
        }
      }),
    );
  });

  it('ignores gaps up to the shortest suspension', () => {
    const machine = new Machine();
    const gap = MINIMUM_SUSPENSION_MILLISECONDS;
    const elapsed = (suspended: number) =>
      machine.elapsed(() => {
        machine.suspend(suspended);
        machine.run(1);
      });
    expect(elapsed(gap)).toBe(1);
    expect(elapsed(gap + 1)).toBe(gap + 2);
  });

  /*
   * Guards against counting the time between the readings of two clocks as a
   * suspension when the process does not run in between on a busy box.
   */
  it('does not gain time while a reading is interrupted', () => {
    const length = fc.integer({min: 0, max: 5000});
    const step = fc.record({before: length, after: length});
    fc.assert(
      fc.property(fc.array(step), (steps) => {
        const machine = new Machine();
        for (const {before, after} of steps) {
          const elapsed = machine.elapsed(() => {
            machine.run(100);
            machine.interruptNextReading(before, after);
            machine.clock.now();
            machine.run(2);
          });
          expect(elapsed).toBe(100 + before + after + 2);
        }
      }),
    );
  });

  it('includes a suspension around a reading that is interrupted', () => {
    const machine = new Machine();
    const elapsed = machine.elapsed(() => {
      machine.suspend(3000);
      machine.run(5);
      machine.interruptNextReading(400, 400);
      machine.clock.now();
      machine.run(5);
      machine.clock.now();
      machine.run(5);
    });
    expect(elapsed).toBe(3000 + 800 + 15);
  });

  it('starts at the time of day although its first reading is interrupted', () => {
    const machine = new Machine();
    let isFirst = true;
    const clock = new SuspendAwareClock({
      steady: () => machine.steady,
      timeOfDay: () => {
        machine.run(isFirst ? 400 : 0);
        isFirst = false;
        return machine.timeOfDay;
      },
      sinceBoot: () => machine.sinceBoot,
    });
    machine.run(2);
    expect(clock.now()).toBe(machine.timeOfDay);
    machine.suspend(300);
    machine.run(2);
    expect(clock.now()).toBe(machine.timeOfDay);
  });
});
