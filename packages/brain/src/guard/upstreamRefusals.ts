// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Refusals of calls by one upstream before slots are considered. */

import type {RetryAllowance} from '@lockpin/routing';
import type {RefusalReason} from '@lockpin/types';
import type {GuardCall} from './guardCall.js';
import type {QuickDoubt} from './quickDoubt.js';
import type {UpstreamStanding} from './upstreamStanding.js';

/** State of the upstream other than its doubt and standing. */
export interface UpstreamCondition {
  readonly isDraining: boolean;
  /** Whether another process answers at the address. */
  readonly isReplaced: boolean;
  /** Whether no call holds a slot. */
  readonly isIdle: boolean;
}

/** Decides on refusals that do not depend on free slots. */
export class UpstreamRefusals {
  constructor(
    private readonly doubt: QuickDoubt,
    private readonly standing: UpstreamStanding,
    private readonly retries: RetryAllowance,
  ) {}

  /** Why calls of this kind are refused now; undefined if they are accepted. */
  reason(
    now: number,
    call: GuardCall,
    {isDraining, isReplaced, isIdle}: UpstreamCondition,
  ): RefusalReason | undefined {
    if (isDraining) {
      return 'upstream-draining';
    }
    if (isReplaced) {
      return 'upstream-replaced';
    }
    if (this.isDoubtedFor(now, call, isIdle)) {
      return 'upstream-doubted';
    }
    if (this.isEjectedFor(now, call, isIdle)) {
      return 'upstream-ejected';
    }
    return call.attempt > 1 && !this.retries.hasRetry(now, call.priority)
      ? 'retries-exhausted'
      : undefined;
  }

  private isDoubtedFor(now: number, call: GuardCall, isIdle: boolean): boolean {
    return (
      (this.doubt.isDoubted(now) && !this.mayRunDoubted(now, call)) ||
      (this.doubt.isUncertain(now, isIdle) && cannotProbe(call))
    );
  }

  /**
   * Repeatable calls serve as probes. Others run if all are doubted, or as a trial
   * instead of being refused.
   */
  private mayRunDoubted(now: number, call: GuardCall): boolean {
    const {repetition} = call;
    const isProbe =
      repetition === 'repeatable' &&
      call.attempt === 1 &&
      this.doubt.millisecondsUntilProbe(now) === 0;
    const isTrial =
      call.isTrial === true && this.doubt.isTrialDue(now, repetition);
    return isProbe || isTrial || call.mayRunDoubted === true;
  }

  /** Whether an ejection refuses the call; probes run one at a time. */
  private isEjectedFor(now: number, call: GuardCall, isIdle: boolean): boolean {
    const {state} = this.standing;
    const mayProbe = isIdle && this.standing.mayProbe(now, call);
    return state === 'ejected' || (state === 'probation' && !mayProbe);
  }
}

/** Calls that cannot be repeated must not serve as probes. */
function cannotProbe(call: GuardCall): boolean {
  return call.repetition === 'at-most-once' && call.mayRunDoubted !== true;
}
