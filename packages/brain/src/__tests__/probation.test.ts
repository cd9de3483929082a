// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which calls may probe an ejected upstream on probation. */

import {describe, expect, it} from 'vitest';
import {DETECTION_SETTINGS} from '@lockpin/detection';
import type {PeerBaseline} from '@lockpin/detection';
import type {HolderReply} from '@lockpin/floor';
import {DEFAULT_GUARD_SETTINGS} from '../guard/guardSettings.js';
import {GuardStateMachine} from '../guard/guardStateMachine.js';
import {
  GuardHarness,
  SERVICE,
  UPSTREAM,
  refusalsOf,
} from './__fixtures__/guardHarness.js';

const {initialHoldMilliseconds} = DETECTION_SETTINGS.fast;
const FAILED_CALLS = 60;
const STEP_MILLISECONDS = 20;
const BASELINE: PeerBaseline = {
  calls: {
    '*': {
      weight: 50,
      failedShare: 0,
      slowShare: 0,
      typicalMilliseconds: 20,
    },
  },
  failingCustomers: [],
};
const AT_MOST_ONCE = {repetition: 'at-most-once', needsGo: false} as const;

/** Creates a guard whose upstream failed all calls and is now on probation. */
function createUpstreamOnProbation(): GuardHarness {
  const identity = {box: 'box', incarnation: 'a'};
  const guard = new GuardStateMachine(identity, DEFAULT_GUARD_SETTINGS);
  const harness = new GuardHarness(4, undefined, undefined, guard);
  const fence = {era: 1, offset: 1};
  const reply = (decision: HolderReply['decision']) =>
    harness.handle({
      kind: 'holder-replied',
      service: SERVICE,
      reply: {upstream: UPSTREAM, fence, decision, baseline: BASELINE},
    });
  harness.handle({kind: 'fence-learnt', service: SERVICE, fence});
  harness.handle({kind: 'holders-read'});
  reply({kind: 'none'});
  for (let i = 0; i < FAILED_CALLS; i += 1) {
    harness.now += STEP_MILLISECONDS;
    harness.run(`failed ${i}`, 500);
    harness.handle({kind: 'tick'});
  }
  reply({kind: 'granted', request: 0});
  harness.now += initialHoldMilliseconds;
  harness.handle({kind: 'tick'});
  return harness;
}

describe('an upstream on probation', () => {
  // Guards against a probation that never ends without repeatable calls.
  it('admits one non-repeatable call at a time if no repeatable ones arrive', () => {
    const harness = createUpstreamOnProbation();
    expect(refusalsOf(harness.offer('early', AT_MOST_ONCE))).toEqual([
      'upstream-ejected not-run',
    ]);
    harness.now += initialHoldMilliseconds;
    expect(harness.offer('probe', AT_MOST_ONCE)).toMatchObject([{kind: 'run'}]);
    expect(refusalsOf(harness.offer('second', AT_MOST_ONCE))).toEqual([
      'upstream-ejected not-run',
    ]);
  });

  // Guards against probes with non-repeatable calls if repeatable ones suffice.
  it('admits no non-repeatable calls while repeatable ones arrive', () => {
    const harness = createUpstreamOnProbation();
    for (let i = 0; i < 4; i += 1) {
      harness.now += initialHoldMilliseconds - STEP_MILLISECONDS;
      harness.run(`probe ${i}`, 200);
      expect(refusalsOf(harness.offer(`once ${i}`, AT_MOST_ONCE))).toEqual([
        'upstream-ejected not-run',
      ]);
    }
  });
});
