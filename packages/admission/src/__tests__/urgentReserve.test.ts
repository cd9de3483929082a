// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Urgent calls with a short goal beside less urgent ones that take long and
 * would hold all slots.
 */

import {describe, expect, it} from 'vitest';
import {UrgentReserve} from '../urgentReserve.js';
import {runStreams} from './__fixtures__/admissionLoad.js';

const SLOTS = 4;
const URGENT_GOAL_MILLISECONDS = 482;

/** The share of the urgent calls in time, and of the others answered. */
function play(
  seed: number,
  keepsUrgentSlots: boolean,
): {readonly urgent: number; readonly others: number} {
  const [urgent, others] = runStreams(
    seed,
    SLOTS,
    [
      {
        customer: 'a',
        priority: 11,
        callsPerSecond: 20,
        workMilliseconds: 103,
        goalMilliseconds: URGENT_GOAL_MILLISECONDS,
      },
      {
        customer: 'b',
        priority: 12,
        callsPerSecond: 6,
        workMilliseconds: 700,
        goalMilliseconds: 4261,
      },
    ],
    60_000,
    {removesHopeless: true, keepsUrgentSlots},
  );
  const inTime = (urgent?.latencies ?? []).filter(
    (latency) => latency <= URGENT_GOAL_MILLISECONDS,
  ).length;
  return {
    urgent: inTime / (urgent?.count ?? 1),
    others: (others?.latencies.length ?? 0) / (others?.count ?? 1),
  };
}

describe.each([1, 2, 3])('urgent calls in an overload (seed %i)', (seed) => {
  // Guards against long calls of low priority that starve urgent ones.
  it('are served before long ones, which still get a slot', () => {
    const kept = play(seed, true);
    const before = play(seed, false);
    expect(before.urgent).toBeLessThan(0.9);
    expect(kept.urgent).toBeGreaterThan(0.95);
    expect(kept.others).toBeGreaterThan(0.15);
  });
});

describe('slots kept for urgent calls', () => {
  it('are as many as urgent calls need, while these lack any', () => {
    const reserve = new UrgentReserve();
    for (let now = 0; now < 1000; now += 50) {
      reserve.offered(now, 1, 100, true);
    }
    expect(reserve.reservedFrom(1000, 2, SLOTS)).toBe(0);
    reserve.offered(1000, 1, 100, false);
    expect(reserve.reservedFrom(1000, 2, SLOTS)).toBe(2);
    expect(reserve.reservedFrom(1000, 1, SLOTS)).toBe(0);
    expect(reserve.reservedFrom(3001, 2, SLOTS)).toBe(0);
  });

  it('leave one to the others', () => {
    const reserve = new UrgentReserve();
    reserve.offered(0, 1, 60_000, false);
    expect(reserve.reservedFrom(0, 2, SLOTS)).toBe(SLOTS - 1);
    expect(reserve.reservedFrom(0, 2, 1)).toBe(0);
  });
});
