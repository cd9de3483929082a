// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A fair queue of limited length, shared between the customers that wait. */

import {FairQueue} from './fairQueue.js';
import {queueRank} from './waitingCall.js';
import type {WaitingCall} from './waitingCall.js';

/** Queue length for each slot. */
const QUEUED_PER_SLOT = 8;

/** Queue of the calls that wait for a slot of one upstream. */
export class BoundedQueue extends FairQueue {
  /** @param burstCallsFor The burst of a customer for a number of slots. */
  constructor(
    private slots: number,
    burstCallsFor?: (slots: number) => number,
  ) {
    super(() => burstCallsFor?.(this.slots));
  }

  setSlots(slots: number): void {
    this.slots = slots;
  }

  /** Whether a customer exceeds its share of the queue while others wait. */
  isOverShare(call: WaitingCall): boolean {
    const customers = this.waitingCustomers();
    const others = customers.size - (customers.has(call.customer) ? 1 : 0);
    if (others === 0) {
      return false;
    }
    const part = Math.ceil(this.maximumLength / (others + 1));
    return this.waitingOf(call.customer) >= part;
  }

  /**
   * Makes room for a call and returns the call that was removed for it, if any;
   * 'none' if there is no room.
   */
  makeRoom(call: WaitingCall): WaitingCall | undefined | 'none' {
    if (this.size < this.maximumLength) {
      return undefined;
    }
    const last = this.leastUrgent();
    const isLessUrgent =
      last !== undefined && queueRank(last) > queueRank(call);
    const displaced = isLessUrgent ? last : this.latestOfBusiestCustomer(call);
    if (displaced === undefined) {
      return 'none';
    }
    this.remove(displaced.id);
    return displaced;
  }

  private get maximumLength(): number {
    return QUEUED_PER_SLOT * this.slots;
  }
}
