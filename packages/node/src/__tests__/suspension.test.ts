// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * What a node holds to be true after its machine was suspended for a minute, by a clock
 * that counts the time and by one that stood still: each promise is kept by the first
 * and would be broken by the second.
 */

import {describe, expect, it} from 'vitest';
import {PermitHolder} from '@lockpin/floor';
import type {GuardReport} from '@lockpin/floor';
import {OnceLedger, mintOnceKey, parseOnceKey} from '@lockpin/once';
import {WindowedRetryBudget} from '@lockpin/routing';
import {CountingClock, seededRandom} from '@lockpin/utils';

const EPOCH = 1_700_000_000_000;

const MINUTE = 60_000;

const FENCE = {era: 1, offset: 7};

/** Reads the time that a node goes by. */
type ReadClock = () => number;

class Machine {
  private ran = 0;
  private slept = 0;
  private readonly counting = new CountingClock({
    steady: () => this.ran,
    timeOfDay: () => EPOCH + this.ran + this.slept,
    sinceBoot: () => this.ran + this.slept,
  });

  /** A clock that goes on while the machine is suspended. */
  readonly goesOn: ReadClock = () => this.counting.now();

  /** A clock that stands still meanwhile. */
  readonly standsStill: ReadClock = () => EPOCH + this.ran;

  /** The time on all other machines. */
  get elsewhere(): number {
    return EPOCH + this.ran + this.slept;
  }

  runs(milliseconds: number): void {
    this.ran += milliseconds;
    this.counting.now();
  }

  isSuspended(milliseconds: number): void {
    this.slept += milliseconds;
    this.runs(1);
  }
}

function report(upstream: string): GuardReport {
  return {
    upstream,
    box: `box of ${upstream}`,
    incarnation: 'a',
    sequence: 1,
    fence: FENCE,
    state: 'in-service',
    suspect: false,
    severity: 0,
    request: 0,
    summary: {calls: {}, failingCustomers: []},
  };
}

/** Slots that a holder takes to be in service a minute after it last heard of any. */
function slotsAfterMinute(clockOf: (machine: Machine) => ReadClock): number {
  const machine = new Machine();
  const now = clockOf(machine);
  const upstreams = ['a', 'b'].map((name) => ({
    name,
    slots: 4,
    inService: true,
  }));
  const view = {floorSlots: 4, settleMilliseconds: 200, upstreams};
  const holder = new PermitHolder(FENCE, view);
  ['a', 'b'].forEach((name) => holder.report(now(), report(name)));
  machine.isSuspended(MINUTE);
  return holder.availableSlots(now());
}

/** Whether calls from before the minute pay for a retry after it. */
function hasRetryAfterMinute(
  clockOf: (machine: Machine) => ReadClock,
): boolean {
  const machine = new Machine();
  const now = clockOf(machine);
  const budget = new WindowedRetryBudget(() => ({
    ratio: 0.2,
    windowMilliseconds: 10_000,
    extra: 0,
  }));
  for (let i = 0; i < 100; i += 1) {
    machine.runs(10);
    budget.firstAttempt(now());
  }
  machine.isSuspended(MINUTE);
  return budget.hasRetry(now());
}

/** What the home of a key that was minted elsewhere meanwhile says to it. */
function keyAfterMinute(clockOf: (machine: Machine) => ReadClock): string {
  const machine = new Machine();
  const now = clockOf(machine);
  const home = {box: 'box', incarnation: 'a'};
  const ledger = new OnceLedger(home);
  machine.isSuspended(2 * MINUTE);
  const text = mintOnceKey(machine.elsewhere, seededRandom(1), home);
  const key = parseOnceKey(text);
  return key === undefined ? 'none' : ledger.begin(now(), key, '').kind;
}

const goesOn = ({goesOn: clock}: Machine): ReadClock => clock;

const standsStill = ({standsStill: clock}: Machine): ReadClock => clock;

describe('after a suspension', () => {
  it('no upstream counts as in service that was not heard of since', () => {
    expect(slotsAfterMinute(goesOn)).toBe(0);
    expect(slotsAfterMinute(standsStill)).toBe(8);
  });

  it('calls from before pay for no retry', () => {
    expect(hasRetryAfterMinute(goesOn)).toBe(false);
    expect(hasRetryAfterMinute(standsStill)).toBe(true);
  });

  it('once keys that were minted meanwhile run', () => {
    expect(keyAfterMinute(goesOn)).toBe('run');
    expect(keyAfterMinute(standsStill)).toBe('expired');
  });
});
