// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Tests that upstreams stay in use while all upstreams of a service reject a
 * share of their calls, and that a single one that does is still doubted.
 */

import {describe, expect, it} from 'vitest';
import {GuardStateMachine} from '../guard/guardStateMachine.js';
import {DEFAULT_GUARD_SETTINGS} from '../guard/guardSettings.js';
import {GuardHarness, refusalsOf} from './__fixtures__/guardHarness.js';

const SLOTS = 4;

function harnessWith(areRejectionsCommon: () => boolean): GuardHarness {
  const guard = new GuardStateMachine(
    {box: 'box', incarnation: 'a'},
    {...DEFAULT_GUARD_SETTINGS, hasQuickDoubt: true, areRejectionsCommon},
  );
  const harness = new GuardHarness(SLOTS, undefined, undefined, guard);
  harness.run('well', 200);
  return harness;
}

function reject(harness: GuardHarness, callId: string): void {
  harness.offer(callId, {needsGo: false});
  harness.handle({
    kind: 'upstream-refused',
    callId,
    reason: 'upstream-refused',
  });
}

function rejectTwice(harness: GuardHarness): void {
  reject(harness, 'first');
  reject(harness, 'second');
}

const ORDINARY = {repetition: 'at-most-once'} as const;

describe('an upstream that rejects two calls in a row', () => {
  it('is doubted if the other upstreams reject none', () => {
    const harness = harnessWith(() => false);
    rejectTwice(harness);
    expect(refusalsOf(harness.offer('next', ORDINARY))).toEqual([
      'upstream-doubted not-run',
    ]);
  });

  it('keeps its calls if most upstreams of the service reject calls', () => {
    const harness = harnessWith(() => true);
    rejectTwice(harness);
    expect(refusalsOf(harness.offer('next', ORDINARY))).toEqual([]);
  });

  it('is no longer doubted once most upstreams turn out to reject calls', () => {
    let isCommon = false;
    const harness = harnessWith(() => isCommon);
    rejectTwice(harness);
    isCommon = true;
    expect(harness.handle({kind: 'tick'})).toContainEqual(
      expect.objectContaining({kind: 'standing'}),
    );
    expect(refusalsOf(harness.offer('next', ORDINARY))).toEqual([]);
  });

  it('stays doubted for other failures while rejections are common', () => {
    const harness = harnessWith(() => true);
    harness.run('fails', 500);
    harness.run('fails again', 500);
    harness.handle({kind: 'tick'});
    expect(refusalsOf(harness.offer('next', ORDINARY))).toEqual([
      'upstream-doubted not-run',
    ]);
  });
});
