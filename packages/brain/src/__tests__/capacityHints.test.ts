// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The wait for a slot and the retries left in load hints. */

import {WindowedRetryBudget} from '@lockpin/routing';
import {describe, expect, it} from 'vitest';
import {DEFAULT_GUARD_SETTINGS} from '../guard/guardSettings.js';
import {GuardStateMachine} from '../guard/guardStateMachine.js';
import {GuardHarness, UPSTREAM} from './__fixtures__/guardHarness.js';

function createGuard(announcesCapacity: boolean): GuardStateMachine {
  return new GuardStateMachine(
    {box: 'box', incarnation: 'a'},
    {
      ...DEFAULT_GUARD_SETTINGS,
      hasQuickDoubt: true,
      announcesCapacity,
      createRetryBudget: () =>
        new WindowedRetryBudget(() => ({
          ratio: 0,
          windowMilliseconds: 10_000,
          extra: 2,
        })),
    },
  );
}

describe('the hint of a guard that announces capacity', () => {
  it('tells no wait while a slot is free, then one that grows with the queue', () => {
    const guard = createGuard(true);
    const harness = new GuardHarness(1, undefined, undefined, guard);
    const free = guard.hintOf(0, UPSTREAM);
    harness.offer('running', {needsGo: false});
    const full = guard.hintOf(0, UPSTREAM)?.slotIn ?? 0;
    harness.offer('queued');
    const queued = guard.hintOf(0, UPSTREAM)?.slotIn ?? 0;
    expect(free).toEqual({
      state: 'accepting',
      occupied: 0,
      limit: 1,
      retriesLeft: 2,
    });
    expect(full).toBeGreaterThan(0);
    expect(queued).toBeGreaterThan(full);
  });

  it('counts the retries that were sent', () => {
    const guard = createGuard(true);
    const harness = new GuardHarness(4, undefined, undefined, guard);
    harness.offer('retry', {attempt: 2, needsGo: false});
    expect(guard.hintOf(0, UPSTREAM)?.retriesLeft).toBe(1);
  });
});

it('leaves both out of the hints of a fleet with its own log', () => {
  const guard = createGuard(false);
  const harness = new GuardHarness(1, undefined, undefined, guard);
  harness.offer('running', {needsGo: false});
  const hint = guard.hintOf(0, UPSTREAM);
  expect(hint).toMatchObject({occupied: 1, limit: 1});
  expect(hint).not.toHaveProperty('slotIn');
  expect(hint).not.toHaveProperty('retriesLeft');
});
