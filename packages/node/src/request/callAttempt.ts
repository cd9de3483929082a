// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** One attempt of a call, from its offer to a guard to its end. */

import type {Exchange} from './exchange.js';
import type {CallHead} from './frames.js';

/** What is known of an attempt when it is offered. */
export interface CallAttemptOptions {
  readonly head: CallHead;
  /** Whether it may run although the guard reports no start. */
  readonly mayStartUnseen: boolean;
  /** Counted from the start; undefined if it is never overdue. */
  readonly overdueMilliseconds: number | undefined;
}

/** Each attempt has its own timers and its own exchange. */
export class CallAttempt {
  private begun: Exchange | undefined;
  /**
   * `offered`: the guard has not reserved a slot. `reserved`: it holds a slot
   * until the call is admitted. `started`: the slot is used.
   */
  private phase: 'offered' | 'reserved' | 'started' = 'offered';
  private silenceTimer: NodeJS.Timeout | undefined;
  private overdueTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: CallAttemptOptions) {}

  /** The exchange with the guard; undefined until it was begun. */
  get exchange(): Exchange | undefined {
    return this.begun;
  }

  /** Whether it may have reached its upstream. */
  get mayHaveBegun(): boolean {
    return this.options.mayStartUnseen || this.phase === 'started';
  }

  /** Whether the guard has reserved a slot, which is used. */
  get hasStarted(): boolean {
    return this.phase === 'started';
  }

  /** Whether it runs only after a go signal that was not sent yet. */
  get awaitsGo(): boolean {
    return this.options.head.needsGo && this.phase !== 'started';
  }

  /** Whether the guard holds a slot until the call is admitted. */
  get hasReservedSlot(): boolean {
    return this.phase === 'reserved';
  }

  offered(exchange: Exchange): void {
    this.begun = exchange;
  }

  /** Keeps the slot that the guard has reserved. */
  reserve(): void {
    this.phase = 'reserved';
  }

  /**
   * Uses the reserved slot: sends the go signal if the guard waits for it, and
   * counts the time from now, as queueing does not count.
   */
  start(onOverdue: () => void): void {
    const {head, overdueMilliseconds} = this.options;
    this.phase = 'started';
    if (overdueMilliseconds !== undefined) {
      this.overdueTimer = setTimeout(onOverdue, overdueMilliseconds);
    }
    if (head.needsGo) {
      const {method, path, headers, body, requestDigest} = head;
      this.begun?.go({method, path, headers, body, requestDigest});
    }
  }

  /** Calls back unless the guard replies in time. */
  awaitReply(milliseconds: number, onSilence: () => void): void {
    this.silenceTimer = setTimeout(onSilence, milliseconds);
  }

  /** The guard has reserved a slot or queued the call. */
  replied(): void {
    clearTimeout(this.silenceTimer);
  }

  clearTimers(): void {
    clearTimeout(this.silenceTimer);
    clearTimeout(this.overdueTimer);
  }
}
