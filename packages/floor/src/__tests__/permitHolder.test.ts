// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Conditions under which the permit holder grants and revokes permits. */

import {describe, expect, it} from 'vitest';
import type {GuardReport} from '../messages.js';
import {PermitHolder} from '../permitHolder.js';

const FENCE = {era: 1, offset: 7};

function report(
  upstream: string,
  sequence: number,
  change: Partial<GuardReport> = {},
): GuardReport {
  return {
    upstream,
    box: `box of ${upstream}`,
    incarnation: 'a',
    sequence,
    fence: FENCE,
    state: 'in-service',
    suspect: false,
    severity: 0,
    request: 0,
    summary: {calls: {}, failingCustomers: []},
    ...change,
  };
}

const CONDEMNED = {state: 'condemned', suspect: true, severity: 1} as const;

function holderOf(count: number, floorSlots: number): PermitHolder {
  const names = Array.from({length: count}, (_, i) => `u${i}`);
  const holder = new PermitHolder(FENCE, {
    floorSlots,
    settleMilliseconds: 200,
    upstreams: names.map((name) => ({name, slots: 1, inService: true})),
  });
  names.forEach((name) => holder.report(0, report(name, 1)));
  return holder;
}

describe('PermitHolder', () => {
  it('grants a request after the settling time', () => {
    const holder = holderOf(6, 3);
    expect(holder.report(100, report('u0', 2, CONDEMNED)).decision).toEqual({
      kind: 'denied',
      reason: 'settling',
    });
    expect(holder.report(400, report('u0', 3, CONDEMNED)).decision).toEqual({
      kind: 'granted',
      request: 0,
    });
  });

  it('grants nothing while many upstreams are or recently were suspect', () => {
    const holder = holderOf(6, 1);
    for (const name of ['u1', 'u2', 'u3']) {
      holder.report(50, report(name, 2, {suspect: true}));
      holder.report(300, report(name, 3));
    }
    holder.report(100, report('u0', 2, CONDEMNED));
    expect(holder.report(400, report('u0', 3, CONDEMNED)).decision).toEqual({
      kind: 'denied',
      reason: 'shared-cause',
    });
  });

  it('counts drained, silent and unknown upstreams as lost', () => {
    const holder = holderOf(6, 4);
    expect(holder.availableSlots(10)).toBe(6);
    holder.report(10, report('u5', 2, {state: 'draining'}));
    expect(holder.availableSlots(10)).toBe(5);
    expect(holder.availableSlots(7000)).toBe(0);
  });

  it('counts an upstream that states a limit for the slots it can use', () => {
    const holder = holderOf(6, 5);
    holder.report(10, report('u5', 2, {usableSlots: 0.3}));
    expect(holder.availableSlots(10)).toBeCloseTo(5.3);
    holder.report(100, report('u0', 2, CONDEMNED));
    expect(holder.report(400, report('u0', 3, CONDEMNED)).decision).toEqual({
      kind: 'denied',
      reason: 'floor',
    });
    holder.report(410, report('u5', 3));
    expect(holder.report(500, report('u0', 4, CONDEMNED)).decision.kind).toBe(
      'granted',
    );
  });

  it('grants nothing below the floor', () => {
    const holder = holderOf(4, 4);
    holder.report(100, report('u0', 2, CONDEMNED));
    expect(holder.report(400, report('u0', 3, CONDEMNED)).decision).toEqual({
      kind: 'denied',
      reason: 'floor',
    });
  });

  it('calls back the least sick when too much is lost', () => {
    const holder = holderOf(6, 4);
    for (const [name, severity] of [
      ['u0', 9],
      ['u1', 2],
    ] as const) {
      holder.report(100, report(name, 2, {...CONDEMNED, severity}));
      holder.report(400, report(name, 3, {...CONDEMNED, severity}));
      holder.report(500, report(name, 4, {state: 'ejected', severity}));
    }
    holder.report(600, report('u5', 2, {state: 'draining'}));
    const moreSevere = holder.report(
      700,
      report('u0', 5, {state: 'ejected', severity: 9}),
    );
    expect(moreSevere.decision.kind).toBe('none');
    const leastSevere = holder.report(
      700,
      report('u1', 5, {state: 'ejected', severity: 2}),
    );
    expect(leastSevere.decision).toEqual({kind: 'revoked', request: 0});
  });

  it('ignores a report that arrives after a later one', () => {
    const holder = holderOf(6, 3);
    holder.report(100, report('u0', 5));
    holder.report(101, report('u0', 4, CONDEMNED));
    expect(holder.report(400, report('u0', 3, CONDEMNED)).decision.kind).toBe(
      'none',
    );
  });
});
