// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * The retry budget of a declared fleet. The guards of a service's upstreams
 * share the fleet's budget, rather than its entries: guards are fewer, each
 * sees more calls, and a retry that one guard cannot budget may be accepted by
 * another. With a budget at each entry, most of it remained unused while
 * entries of busy callers had exhausted theirs.
 */

import {
  EveryWindowRetryBudget,
  SlidingMinimum,
  WindowedRetryBudget,
} from '@lockpin/routing';
import type {
  EveryWindowLimits,
  EveryWindowSettings,
  RetryAllowance,
} from '@lockpin/routing';
import type {FleetRetryLimit} from './fleetPorts.js';
import type {MechanismSwitch} from './mechanisms.js';

/**
 * Share of the fleet's retries that its guards use without 'strict-budget'. The
 * rest is a margin for guards that restart: they do not know how many retries
 * their box has used, and may use those earned by recent calls a second time.
 * They go without the additional retries for one window.
 */
const WINDOWED_SHARE = 0.85;

/**
 * Share of a guard's constant that remains unused. It covers what a guard
 * counts otherwise than its upstream: a first attempt that broke before it
 * arrived has earned credit.
 */
const UNUSED_SHARE = 0.05;

/**
 * Retries that a guard leaves unused in a window because it sends whole ones.
 * In a service of many guards this is more than the unused share.
 */
const UNUSED_BY_ROUNDING = 0.5;

/**
 * A retry may arrive later after the guard's decision than another one: the
 * window is longer by some turns of the event loop of a slow box.
 */
const ARRIVAL_MILLISECONDS = 100;

/**
 * Time in which other guards learn of a new one and reduce their shares of the
 * constant.
 */
const SPREAD_MILLISECONDS = 3000;

/** Share of a guard's constant that is kept for urgent calls. */
const URGENT_SHARE = 0.25;

/**
 * Share of a guard's constant that is kept for repeats that upstreams make
 * while they run a repeated call (see mayBeRepeat). If a tenth of the calls are
 * such repeats, the fullest window reaches 0.94 of its limit.
 */
const REPEAT_SHARE = 0.15;

/** Dependencies of a guard's retry budget. */
export interface RetryBudgetContext {
  readonly isOn: MechanismSwitch;
  /** Start of this process, by its own clock. */
  readonly startedAt: number;
  /** Whether no earlier process of this box can have used retries. */
  readonly isFirstStart: boolean;
  /** Returns the current limit, which may change while the process runs. */
  readonly retries: () => FleetRetryLimit;
  /**
   * Returns the number of known upstreams of the service, whose guards share
   * its retries.
   */
  readonly upstreams: () => number;
}

/** Creates the retry budget of one service at one guard. */
export function fleetRetryBudget(fleet: RetryBudgetContext): RetryAllowance {
  return fleet.isOn('strict-budget')
    ? new EveryWindowRetryBudget(new GuardShare(fleet))
    : new WindowedRetryBudget((now) => windowedShare(now, fleet));
}

/**
 * A guard's share of the fleet's retries. A process that is not the first of
 * its box does without the constant for one window, since it does not know what
 * the earlier one used, and sends only the retries that its calls have earned.
 */
class GuardShare implements EveryWindowSettings {
  private readonly constants: SlidingMinimum;
  private lastConstant: number;
  private startedAt: number;

  constructor(private readonly fleet: RetryBudgetContext) {
    this.startedAt = fleet.startedAt;
    this.lastConstant = this.currentConstant();
    this.constants = new SlidingMinimum(this.lastConstant);
  }

  at(now: number): EveryWindowLimits {
    const {ratio, windowMilliseconds: window} = this.fleet.retries();
    const windowMilliseconds = window + ARRIVAL_MILLISECONDS;
    const constant = this.leastConstant(now - windowMilliseconds, now);
    const mayHaveUsedRetries =
      !this.fleet.isFirstStart &&
      now - this.startedAt < windowMilliseconds + SPREAD_MILLISECONDS;
    const unused = constant * UNUSED_SHARE - UNUSED_BY_ROUNDING;
    const ownExtra = mayHaveUsedRetries ? 0 : constant - Math.max(0, unused);
    return {
      ratio,
      windowMilliseconds,
      extra: ownExtra,
      urgentExtra: this.fleet.isOn('urgent-retries')
        ? ownExtra * URGENT_SHARE
        : 0,
      repeatExtra: ownExtra * REPEAT_SHARE,
      savesRetry: constant < 1 || mayHaveUsedRetries,
    };
  }

  /** A process that has just started remains one when the clock jumps. */
  clockGained(milliseconds: number): void {
    this.startedAt += milliseconds;
    this.constants.clockGained(milliseconds);
  }

  /**
   * The least share of the constant since a time. When a guard leaves, its
   * share passes to the others only after its retries have expired.
   */
  private leastConstant(since: number, now: number): number {
    const constant = this.currentConstant();
    if (constant !== this.lastConstant) {
      this.lastConstant = constant;
      this.constants.changed(now, constant);
    }
    return this.constants.since(since);
  }

  private currentConstant(): number {
    const {retries, upstreams} = this.fleet;
    return retries().extra / Math.max(1, upstreams());
  }
}

function windowedShare(
  now: number,
  {retries, isFirstStart, startedAt, upstreams}: RetryBudgetContext,
): ReturnType<ConstructorParameters<typeof WindowedRetryBudget>[0]> {
  const {ratio, windowMilliseconds, extra} = retries();
  const mayHaveUsedRetries =
    !isFirstStart && now - startedAt < windowMilliseconds;
  const ownExtra = extra / Math.max(1, upstreams());
  return {
    ratio: ratio * WINDOWED_SHARE,
    windowMilliseconds,
    extra: mayHaveUsedRetries ? 0 : ownExtra * WINDOWED_SHARE,
  };
}
