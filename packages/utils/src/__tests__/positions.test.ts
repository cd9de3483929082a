// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Positions in a stream are ordered by era first. */

import {describe, expect, it} from 'vitest';
import {comparePositions, isLaterPosition} from '../positions.js';

describe('a position', () => {
  it('is later than any of an earlier era, whatever the offsets', () => {
    const old = {era: 1, offset: 900};
    const restored = {era: 2, offset: 3};
    expect(isLaterPosition(restored, old)).toBe(true);
    expect(isLaterPosition(old, restored)).toBe(false);
  });

  it('is ordered by its offset within an era, and equal to itself', () => {
    const first = {era: 2, offset: 3};
    const second = {era: 2, offset: 4};
    expect(isLaterPosition(second, first)).toBe(true);
    expect(comparePositions(first, {...first})).toBe(0);
  });
});
