// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Ejection of an upstream and its return to service. */

import {describe, expect, it} from 'vitest';
import {EjectionCycle, PROBATION_CALLS} from '../ejectionCycle.js';
import {DETECTION_SETTINGS} from '../sensitivity.js';

const SETTINGS = DETECTION_SETTINGS.balanced;

/** Condemns and ejects, then waits for probation; returns the hold duration. */
function ejectAndHold(cycle: EjectionCycle, now: number): number {
  cycle.applyVerdict(true);
  expect(cycle.granted(now, cycle.requestNumber)).toBe('ejected');
  const hold = cycle.remainingHold(now);
  expect(cycle.review(now + hold - 1)).toBeUndefined();
  expect(cycle.review(now + hold)).toBe('probation-began');
  return hold;
}

describe('EjectionCycle', () => {
  it('returns to service only after enough successful calls', () => {
    const cycle = new EjectionCycle(SETTINGS);
    const hold = ejectAndHold(cycle, 0);
    for (let i = 1; i < PROBATION_CALLS; i += 1) {
      expect(cycle.recordProbe(hold + i, true)).toBeUndefined();
      expect(cycle.holdsPermit).toBe(true);
    }
    expect(cycle.recordProbe(hold + 100, true)).toBe('returned');
    expect(cycle.holdsPermit).toBe(false);
  });

  it('is held longer and longer when it flaps', () => {
    const cycle = new EjectionCycle(SETTINGS);
    let now = 0;
    const holds: number[] = [];
    for (let i = 0; i < 4; i += 1) {
      const hold = ejectAndHold(cycle, now);
      holds.push(hold);
      now += hold;
      for (let call = 0; call < PROBATION_CALLS; call += 1) {
        cycle.recordProbe(now, true);
      }
      now += 1000;
    }
    expect(holds).toEqual([10_000, 20_000, 40_000, 80_000]);
  });

  it('ejects again after the first failed call on probation', () => {
    const cycle = new EjectionCycle(SETTINGS);
    const hold = ejectAndHold(cycle, 0);
    cycle.recordProbe(hold, true);
    expect(cycle.recordProbe(hold + 1, false)).toBe('hold-renewed');
    expect(cycle.remainingHold(hold + 1)).toBe(20_000);
  });

  it('returns to service at once when its permit is revoked', () => {
    const cycle = new EjectionCycle(SETTINGS);
    cycle.applyVerdict(true);
    const request = cycle.requestNumber;
    cycle.granted(0, request);
    expect(cycle.revoked(1)).toBe('permit-revoked');
    expect(cycle.granted(2, request)).toBeUndefined();
    expect(cycle.state).toBe('in-service');
  });
});
