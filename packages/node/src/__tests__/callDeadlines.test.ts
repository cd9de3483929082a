// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The time limits of calls whose answers have begun. */

import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import {CallDeadlines} from '../request/callDeadlines.js';
import type {CallerExchange} from '../request/callerExchange.js';

const LIMIT_MILLISECONDS = 1000;

beforeEach(() => {
  vi.useFakeTimers({now: 0});
});

afterEach(() => {
  vi.useRealTimers();
});

/** Returns when a call ends whose answer progresses until a time. */
function endOf(progressesUntil: number, deliversLate: boolean): number {
  let endedAt = Number.NaN;
  const deadlines = new CallDeadlines({
    clock: Date.now,
    deliversLate,
    onPassed: () => (endedAt = Date.now()),
  });
  const exchange = {
    arrivedAt: 0,
    call: {waitMilliseconds: LIMIT_MILLISECONDS},
    takeProgress: () => Date.now() <= progressesUntil,
  } as unknown as CallerExchange;
  deadlines.start(exchange);
  vi.advanceTimersByTime(60_000);
  return endedAt;
}

it('ends a call at its time limit if its answer has not begun', () => {
  expect(endOf(0, true)).toBe(LIMIT_MILLISECONDS);
});

it('ends a late answer only when no part of it arrives any more', () => {
  expect(endOf(20_000, true)).toBe(LIMIT_MILLISECONDS + 20_000);
});

it('ends answers at the time limit in a fleet that does not deliver late ones', () => {
  expect(endOf(20_000, false)).toBe(LIMIT_MILLISECONDS);
});
