// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Guarantees of a node after its machine was suspended for a minute. Each holds
 * with a clock that includes the suspension and would be broken by one that
 * stopped meanwhile.
 */

import {describe, expect, it} from 'vitest';
import {PermitHolder} from '@lockpin/floor';
import type {GuardReport} from '@lockpin/floor';
import {OnceLedger, mintOnceKey, parseOnceKey} from '@lockpin/once';
import {WindowedRetryBudget} from '@lockpin/routing';
import {SuspendAwareClock, seededRandom} from '@lockpin/utils';

const EPOCH = 1_700_000_000_000;

const MINUTE = 60_000;

const FENCE = {era: 1, offset: 7};

/** Returns the time used by a node. */
type ReadClock = () => number;

class Machine {
  private ranMilliseconds = 0;
  private suspendedMilliseconds = 0;
  private readonly suspendAwareClock = new SuspendAwareClock({
    steady: () => this.ranMilliseconds,
    timeOfDay: () => EPOCH + this.ranMilliseconds + this.suspendedMilliseconds,
    sinceBoot: () => this.ranMilliseconds + this.suspendedMilliseconds,
  });

  /** A clock that includes the time of a suspension. */
  readonly includesSuspension: ReadClock = () => this.suspendAwareClock.now();

  /** A clock that stops during a suspension. */
  readonly stopsMeanwhile: ReadClock = () => EPOCH + this.ranMilliseconds;

  /** The time on other machines. */
  get elsewhere(): number {
    return EPOCH + this.ranMilliseconds + this.suspendedMilliseconds;
  }

  run(milliseconds: number): void {
    this.ranMilliseconds += milliseconds;
    this.suspendAwareClock.now();
  }

  suspend(milliseconds: number): void {
    this.suspendedMilliseconds += milliseconds;
    this.run(1);
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

/** Slots that a holder counts as in service a minute after the last reports. */
function slotsAfterSuspension(
  clockOf: (machine: Machine) => ReadClock,
): number {
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
  machine.suspend(MINUTE);
  return holder.availableSlots(now());
}

/** Whether calls from before the suspension permit a retry after it. */
function hasRetryAfterSuspension(
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
    machine.run(10);
    budget.firstAttempt(now());
  }
  machine.suspend(MINUTE);
  return budget.hasRetry(now());
}

/**
 * How the home box answers a once key that was minted elsewhere during the
 * suspension.
 */
function keyAfterSuspension(clockOf: (machine: Machine) => ReadClock): string {
  const machine = new Machine();
  const now = clockOf(machine);
  const home = {box: 'box', incarnation: 'a'};
  const ledger = new OnceLedger(home);
  machine.suspend(2 * MINUTE);
  const text = mintOnceKey(machine.elsewhere, seededRandom(1), home);
  const key = parseOnceKey(text);
  return key === undefined ? 'none' : ledger.begin(now(), key, '').kind;
}

const includesSuspension = ({includesSuspension: clock}: Machine): ReadClock =>
  clock;

const stopsMeanwhile = ({stopsMeanwhile: clock}: Machine): ReadClock => clock;

describe('after a suspension', () => {
  it('no upstream counts as in service that was not heard of since', () => {
    expect(slotsAfterSuspension(includesSuspension)).toBe(0);
    expect(slotsAfterSuspension(stopsMeanwhile)).toBe(8);
  });

  it('calls from before pay for no retry', () => {
    expect(hasRetryAfterSuspension(includesSuspension)).toBe(false);
    expect(hasRetryAfterSuspension(stopsMeanwhile)).toBe(true);
  });

  it('once keys that were minted meanwhile run', () => {
    expect(keyAfterSuspension(includesSuspension)).toBe('run');
    expect(keyAfterSuspension(stopsMeanwhile)).toBe('expired');
  });
});
