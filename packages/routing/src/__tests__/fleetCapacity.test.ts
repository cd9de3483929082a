// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What boxes pass on about the capacity of upstreams. */

import {describe, expect, it} from 'vitest';
import {FleetCapacity, hasSpare} from '../fleetCapacity.js';
import type {LoadHint} from '../loadHint.js';

const NOW = 10_000;
const FREE: LoadHint = {state: 'accepting', occupied: 1, limit: 4};
const FULL: LoadHint = {state: 'accepting', occupied: 6, limit: 4, slotIn: 300};

function boxesIn(capacity: FleetCapacity, isRefusal: boolean): string[] {
  return capacity
    .rowsFor('s', 's/own', NOW, isRefusal ? hasSpare : undefined)
    .map(({box}) => box);
}

describe('the rows of a reply', () => {
  it('leave out the replying upstream, others that refuse, and old knowledge', () => {
    const capacity = new FleetCapacity();
    capacity.hinted('s/own', NOW, FREE);
    capacity.hinted('s/doubted', NOW, {...FREE, state: 'doubted'});
    capacity.hinted('s/old', NOW - 1001, FREE);
    capacity.hinted('t/other-service', NOW, FREE);
    capacity.hinted('s/known', NOW - 1000, FULL);
    expect(capacity.rowsFor('s', 's/own', NOW)).toEqual([
      {box: 'known', occupied: 6, limit: 4, slotIn: 300, age: 1000},
    ]);
  });

  it('are the newest six of an answer, and begin with spare capacity in a refusal', () => {
    const capacity = new FleetCapacity();
    for (let i = 0; i < 8; i += 1) {
      capacity.hinted(`s/${i}`, NOW - 100 * i, i < 6 ? FULL : FREE);
    }
    expect(boxesIn(capacity, false)).toEqual(['0', '1', '2', '3', '4', '5']);
    expect(boxesIn(capacity, true)).toEqual(['6', '7', '0', '1', '2', '3']);
  });
});

describe('knowledge from another box', () => {
  it('ages on the way, so that it is not passed on for ever', () => {
    const [first, second] = [new FleetCapacity(), new FleetCapacity()];
    first.hinted('s/known', NOW - 900, {...FREE, retriesLeft: 2});
    second.rowsReceived('s', NOW, first.rowsFor('s', '', NOW));
    expect(second.latest('s/known')).toMatchObject({
      occupied: 1,
      retriesLeft: 2,
      at: NOW - 900,
    });
    expect(second.rowsFor('s', '', NOW + 101)).toEqual([]);
  });

  it('never replaces newer knowledge, also if its age is negative', () => {
    const capacity = new FleetCapacity();
    const row = {box: 'u', occupied: 0, limit: 4};
    capacity.hinted('s/u', NOW, FULL);
    capacity.rowsReceived('s', NOW, [{...row, age: 1}]);
    expect(capacity.latest('s/u')?.occupied).toBe(6);
    capacity.rowsReceived('s', NOW, [{...row, age: -5000}]);
    expect(capacity.latest('s/u')?.at).toBe(NOW);
  });
});

describe('rejections', () => {
  function rejecting(shares: readonly number[]): FleetCapacity {
    const capacity = new FleetCapacity();
    shares.forEach((rejectedShare, box) =>
      capacity.hinted(`s/${box}`, NOW, {...FREE, rejectedShare}),
    );
    return capacity;
  }

  it.each([
    [[0.5, 0.4, 0.6, 0], true],
    [[0.5, 0, 0, 0], false],
    [[0.5, 0.5], false],
  ])('of the shares %j are common: %s', (shares, areCommon) => {
    expect(rejecting(shares).areRejectionsCommon('s', NOW)).toBe(areCommon);
  });

  it('are known from other boxes, and for three seconds only', () => {
    const capacity = new FleetCapacity();
    const rows = rejecting([0.5, 0.5, 0.5]).rowsFor('s', '', NOW);
    capacity.rowsReceived('s', NOW, rows);
    expect(capacity.areRejectionsCommon('s', NOW)).toBe(true);
    expect(capacity.areRejectionsCommon('s', NOW + 3001)).toBe(false);
  });
});
