// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Why one upstream takes no call of a kind now. */

import type {RetryAllowance} from '@lockpin/routing';
import type {RefusalReason} from '@lockpin/types';
import type {GuardCall} from './guardMessages.js';
import type {QuickDoubt} from './quickDoubt.js';
import type {UpstreamStanding} from './upstreamStanding.js';

/** How the upstream is, besides what doubt and standing say of it. */
export interface UpstreamPresence {
  readonly isDraining: boolean;
  /** Another process answers at the address. */
  readonly isReplaced: boolean;
  /** No call has a slot. */
  readonly isIdle: boolean;
}

/** Refuses calls for what they are, before there is any question of a slot. */
export class UpstreamRefusals {
  constructor(
    private readonly doubt: QuickDoubt,
    private readonly standing: UpstreamStanding,
    private readonly retries: RetryAllowance,
  ) {}

  /** Why no call of this kind may come now; undefined when one may. */
  reason(
    now: number,
    call: GuardCall,
    {isDraining, isReplaced, isIdle}: UpstreamPresence,
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
    return call.attempt > 1 && !this.retries.hasRetry(now)
      ? 'retries-exhausted'
      : undefined;
  }

  private isDoubtedFor(now: number, call: GuardCall, isIdle: boolean): boolean {
    return (
      (this.doubt.isDoubted(now) && !this.mayRunDoubted(now, call)) ||
      (this.doubt.isUncertain(now, isIdle) && cannotFindOut(call))
    );
  }

  /** Repeatable calls find out how it is; others only when all are doubted. */
  private mayRunDoubted(now: number, call: GuardCall): boolean {
    const isProbe =
      call.repetition === 'repeatable' &&
      call.attempt === 1 &&
      this.doubt.untilProbe(now) === 0;
    return isProbe || call.mayRunDoubted === true;
  }

  /** Whether an ejection refuses the call; probation admits one probe at a time. */
  private isEjectedFor(now: number, call: GuardCall, isIdle: boolean): boolean {
    const {state} = this.standing;
    const mayProbe = isIdle && this.standing.mayProbe(now, call);
    return state === 'ejected' || (state === 'probation' && !mayProbe);
  }
}

/** A call that cannot be repeated had better not be the one to find out. */
function cannotFindOut(call: GuardCall): boolean {
  return call.repetition === 'at-most-once' && call.mayRunDoubted !== true;
}
