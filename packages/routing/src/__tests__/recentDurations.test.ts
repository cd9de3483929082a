// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Shares of the last durations of a kind of call. */

import {describe, expect, it} from 'vitest';
import {RecentDurations} from '../recentDurations.js';

function recorded(durations: readonly number[]): RecentDurations {
  const recent = new RecentDurations();
  durations.forEach((milliseconds) => recent.add('r', milliseconds));
  return recent;
}

describe('the last durations of a kind', () => {
  it('tell nothing until there are five', () => {
    expect(recorded([1, 2, 3, 4]).quantile('r', 1)).toBeUndefined();
    expect(recorded([5, 4, 3, 2, 1]).quantile('r', 1)).toBe(5);
    expect(recorded([5, 4, 3, 2, 1]).quantile('other', 1)).toBeUndefined();
  });

  it('tell what a share of them did not exceed', () => {
    const recent = recorded(Array.from({length: 20}, (_, i) => 100 - i));
    expect(recent.quantile('r', 0.5)).toBe(90);
    expect(recent.quantile('r', 0.95)).toBe(99);
  });

  it('forget what is long ago', () => {
    const recent = recorded([9000, ...Array.from({length: 32}, () => 10)]);
    expect(recent.quantile('r', 1)).toBe(10);
  });
});
