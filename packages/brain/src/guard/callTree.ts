// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which running calls of this box make which nested calls. */

import type {GuardCall} from './guardMessages.js';
import {RunningCalls} from './runningCalls.js';
import type {ParentCall} from './runningCalls.js';

/** Tracks the calls that run here and answers for their nested calls. */
export class CallTree {
  private readonly running = new RunningCalls();
  /** Whether any nested call with the id of its parent was seen. */
  private hasSeenParentIds = false;

  constructor(private readonly isEnabled: boolean) {}

  /** Records a call that was offered, possibly by another box. */
  offered({isNested}: GuardCall): void {
    this.hasSeenParentIds ||= isNested === true;
  }

  /** Records that a call was sent to its upstream. */
  started(call: GuardCall): void {
    this.running.add(call);
  }

  /** Records that a call has ended; ignores calls that were not sent. */
  ended(now: number, callId: string): void {
    this.running.remove(now, callId);
  }

  /** The running call that a nested call names as its parent, if any. */
  parent(requestId: string): ParentCall | undefined {
    if (!this.isEnabled) {
      return undefined;
    }
    const parent = this.running.parent(requestId);
    this.hasSeenParentIds ||= parent !== undefined;
    return parent;
  }

  /**
   * Whether a call that begins on this box counts as a repeat: exactly if its
   * parent does. Undefined while no nested call in the fleet has named its
   * parent, since nested calls then cannot be told from others.
   */
  isRepeat(
    now: number,
    parentRequestId: string | undefined,
  ): boolean | undefined {
    if (!this.isEnabled || !this.hasSeenParentIds) {
      return undefined;
    }
    return (
      parentRequestId !== undefined &&
      this.running.isRepeat(now, parentRequestId)
    );
  }
}
