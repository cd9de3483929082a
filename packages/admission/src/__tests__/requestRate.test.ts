// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The token bucket that keeps the calls to an upstream within its limit. */

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {RequestRate} from '../requestRate.js';

/** Calls that start in a second if one is offered every millisecond. */
function startedWithin(
  rate: RequestRate,
  from: number,
  milliseconds = 1000,
): number {
  let started = 0;
  for (let now = from; now < from + milliseconds; now += 1) {
    if (rate.hasToken(now)) {
      rate.take(now);
      started += 1;
    }
  }
  return started;
}

function limited(callsPerSecond: number): RequestRate {
  const rate = new RequestRate();
  rate.setLimit(0, callsPerSecond);
  return rate;
}

describe('RequestRate', () => {
  it('allows any number of calls while there is no limit', () => {
    expect(startedWithin(new RequestRate(), 0)).toBe(1000);
  });

  it.each([0.5, 2.6, 4.7, 40])(
    'starts all calls that a limit of %f per second allows, and no more',
    (limit) => {
      const started = startedWithin(limited(limit), 0, 20_000);
      expect(started).toBeGreaterThanOrEqual(Math.floor(20 * limit) - 1);
      expect(started).toBeLessThanOrEqual(20 * limit);
    },
  );

  it('never exceeds the limit by more than a second of calls in any window', () => {
    fc.assert(
      fc.property(
        fc.double({min: 0.2, max: 50, noNaN: true}),
        fc.array(fc.integer({min: 0, max: 700}), {maxLength: 200}),
        (limit, pauses) => {
          const rate = limited(limit);
          const starts: number[] = [];
          let now = 0;
          for (const pause of pauses) {
            now += pause;
            while (rate.hasToken(now)) {
              rate.take(now);
              starts.push(now);
            }
          }
          const counts = starts.map(
            (from) =>
              starts.filter((at) => at >= from && at < from + 4000).length,
          );
          const most = 4 * limit + Math.max(1, limit);
          return Math.max(0, ...counts) <= most + 1e-6;
        },
      ),
    );
  });

  it('lowers the calls at once when the limit falls, also those saved up', () => {
    const rate = limited(50);
    rate.setLimit(1000, 2);
    expect(startedWithin(rate, 1000)).toBeLessThanOrEqual(4);
  });

  it('raises the calls when the limit rises or ends', () => {
    const rate = limited(2);
    startedWithin(rate, 0);
    rate.setLimit(1000, 20);
    expect(startedWithin(rate, 1000)).toBeGreaterThanOrEqual(19);
    rate.setLimit(2000, undefined);
    expect(startedWithin(rate, 2000)).toBe(1000);
  });

  it.each([0, 0.05, 0.1])(
    'lets a call through every 5 s when the limit is %f, and no more',
    (limit) => {
      const rate = limited(limit);
      const counts = Array.from({length: 12}, (_, i) =>
        startedWithin(rate, 1 + i * 5000, 5000),
      );
      expect(counts).toEqual(Array.from({length: 12}, () => 1));
    },
  );

  it('returns the token of a call that was not sent', () => {
    const rate = limited(1);
    rate.take(1000);
    expect(rate.hasToken(1000)).toBe(false);
    rate.giveBack(1000);
    expect(rate.hasToken(1000)).toBe(true);
  });

  it('reports when a call may start', () => {
    const rate = limited(4);
    expect([rate.wait(0, 1), rate.wait(0, 3)]).toEqual([250, 750]);
    expect(rate.hasToken(250)).toBe(true);
  });

  it('gives refused calls times one after the other, 4 s ahead at most', () => {
    const rate = limited(2);
    const waits = Array.from({length: 20}, () => {
      const wait = rate.waitBehindRefused(0, 1);
      rate.refused(0);
      return wait;
    });
    expect(waits.slice(0, 4)).toEqual([500, 1000, 1500, 2000]);
    expect(Math.max(...waits)).toBe(4000);
  });

  it('leaves less urgent calls what more urgent ones did not take lately', () => {
    const rate = limited(10);
    for (let now = 100; now <= 2000; now += 200) {
      rate.take(now, 1);
    }
    expect(rate.waitForTurn(2000, 15, 1)).toBe(rate.wait(2000, 15));
    expect(rate.waitForTurn(2000, 15, 2)).toBe(2 * rate.wait(2000, 15));
  });

  it('expects no turn for calls while more urgent ones take the whole limit', () => {
    const rate = limited(5);
    for (let now = 200; now <= 2000; now += 200) {
      rate.take(now, 1);
    }
    expect(rate.waitForTurn(2000, 1, 2)).toBe(Number.POSITIVE_INFINITY);
  });

  it('does not count time that the clock gained', () => {
    const rate = limited(1);
    rate.clockGained(60_000);
    expect(startedWithin(rate, 60_000)).toBeLessThanOrEqual(1);
  });
});
