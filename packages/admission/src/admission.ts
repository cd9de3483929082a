// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which calls an upstream runs, which wait and which are refused at once. */

import type {RefusalReason} from '@lockpin/types';
import {AdaptiveLimit} from './adaptiveLimit.js';
import {FairQueue, isTooLateFor} from './fairQueue.js';
import type {WaitingCall} from './fairQueue.js';

/** What became of a call that was offered. */
export type Offer =
  | {readonly kind: 'start'}
  | {readonly kind: 'queued'; readonly displaced: WaitingCall | undefined}
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReason;
      readonly retryAfterMilliseconds: number;
    };

/** Calls that a freed slot sets going, and those it is too late for. */
export interface Freed {
  readonly started: readonly WaitingCall[];
  readonly expired: readonly WaitingCall[];
}

/** Calls that may wait for each slot. */
const QUEUED_PER_SLOT = 8;

/** Weight of the newest call in the average of the time a call takes. */
const DURATION_WEIGHT = 0.1;

const FIRST_DURATION_MILLISECONDS = 10;

/**
 * A call that has taken this many times what was expected may never end, and nobody
 * should wait for its slot: one in twenty-five of a healthy upstream takes so long.
 */
const STUCK_FACTOR = 4;

/** When to ask again after an upstream of which no slot is expected to be freed. */
const STUCK_RETRY_MILLISECONDS = 500;

interface RunningEntry {
  readonly call: WaitingCall;
  readonly startedAt: number;
}

/** The guard's gate before one upstream. */
export class Admission {
  private readonly queue = new FairQueue();
  private readonly running = new Map<string, RunningEntry>();
  private readonly limit: AdaptiveLimit;
  private duration = FIRST_DURATION_MILLISECONDS;

  constructor(
    private slots: number,
    cold: boolean,
  ) {
    this.limit = new AdaptiveLimit(slots, cold);
  }

  /** Calls running and waiting. */
  get occupied(): number {
    return this.running.size + this.queue.size;
  }

  get runningCount(): number {
    return this.running.size;
  }

  get currentLimit(): number {
    return this.limit.current;
  }

  /** Time a call is expected to take, in milliseconds. */
  get expectedDuration(): number {
    return this.duration;
  }

  setSlots(slots: number): void {
    this.slots = slots;
    this.limit.setSlots(slots);
  }

  /** Decides on a new call. */
  offer(now: number, call: WaitingCall): Offer {
    if (this.running.size < this.limit.current && this.queue.size === 0) {
      return this.startOrRefuse(now, call);
    }
    const wait = this.expectedWait(now, call);
    if (call.mayWait === false) {
      return refused('upstream-busy', wait);
    }
    if (isTooLateFor(call, now + wait, this.expectedOf(call))) {
      return refused('deadline-too-short', wait);
    }
    if (this.isOverShare(call)) {
      return refused('customer-over-share', wait);
    }
    const displaced = this.makeRoom(call);
    if (displaced === 'none') {
      return refused('queue-full', wait);
    }
    this.queue.add(call);
    return {kind: 'queued', displaced};
  }

  /** A running call ended, after how long if that says something; says what runs next. */
  finish(now: number, id: string, milliseconds: number | undefined): Freed {
    this.running.delete(id);
    if (milliseconds !== undefined) {
      this.duration += DURATION_WEIGHT * (milliseconds - this.duration);
    }
    return this.fill(now);
  }

  /** Calls that wait for a slot. */
  waiting(): readonly WaitingCall[] {
    return this.queue.all();
  }

  /** Takes a waiting call out: from here on it can never run. */
  withdraw(id: string): boolean {
    return this.queue.remove(id);
  }

  /** Takes out what waits in vain, and starts what can start. */
  review(now: number): Freed {
    const late = this.queue.overdue(now, (call) => this.expectedOf(call));
    late.forEach(({id}) => this.queue.remove(id));
    const freed = this.fill(now);
    return {started: freed.started, expired: [...late, ...freed.expired]};
  }

  /** Takes out all that waits, because nothing new may start here. */
  drainQueue(): readonly WaitingCall[] {
    const calls: WaitingCall[] = [];
    for (let call = this.queue.take(); call; call = this.queue.take()) {
      calls.push(call);
    }
    return calls;
  }

  succeeded(): void {
    this.limit.succeeded();
  }

  shed(): void {
    this.limit.shed();
  }

  cool(): void {
    this.limit.cool();
  }

  private startOrRefuse(now: number, call: WaitingCall): Offer {
    if (now >= call.deadline) {
      return refused('deadline-too-short', 0);
    }
    this.running.set(call.id, {call, startedAt: now});
    return {kind: 'start'};
  }

  private fill(now: number): Freed {
    const started: WaitingCall[] = [];
    const expired: WaitingCall[] = [];
    while (this.running.size < this.limit.current) {
      const call = this.queue.take();
      if (call === undefined) {
        break;
      }
      if (isTooLateFor(call, now, this.expectedOf(call))) {
        expired.push(call);
        continue;
      }
      this.running.set(call.id, {call, startedAt: now});
      started.push(call);
    }
    return {started, expired};
  }

  private expectedOf({expectedMilliseconds}: WaitingCall): number {
    return expectedMilliseconds ?? this.duration;
  }

  /** Infinite where calls hold all slots that may never end. */
  private expectedWait(now: number, call: WaitingCall): number {
    const rounds = (this.queue.aheadOf(call) + 1) / this.movingSlots(now);
    return rounds * this.duration;
  }

  /**
   * Slots that are free or expected to come free. A call of a kind that is not known
   * yet may simply take long.
   */
  private movingSlots(now: number): number {
    const entries = [...this.running.values()];
    const stuck = entries.filter(
      ({call: {expectedMilliseconds: expected}, startedAt}) =>
        expected !== undefined && now - startedAt > STUCK_FACTOR * expected,
    );
    return Math.max(0, this.limit.current - stuck.length);
  }

  /** Under contention, no customer may fill more than its part of the queue. */
  private isOverShare(call: WaitingCall): boolean {
    const customers = this.queue.waitingCustomers();
    const others = customers.size - (customers.has(call.customer) ? 1 : 0);
    if (others === 0) {
      return false;
    }
    const part = Math.ceil(this.queueLength / (others + 1));
    return this.queue.waitingOf(call.customer) >= part;
  }

  private makeRoom(call: WaitingCall): WaitingCall | undefined | 'none' {
    if (this.queue.size < this.queueLength) {
      return undefined;
    }
    const last = this.queue.leastUrgent();
    const isLessUrgent = last !== undefined && last.priority > call.priority;
    const displaced = isLessUrgent ? last : this.queue.mostCrowding(call);
    if (displaced === undefined) {
      return 'none';
    }
    this.queue.remove(displaced.id);
    return displaced;
  }

  private get queueLength(): number {
    return QUEUED_PER_SLOT * this.slots;
  }
}

function refused(reason: RefusalReason, wait: number): Offer {
  const after = Number.isFinite(wait) ? wait : STUCK_RETRY_MILLISECONDS;
  return {kind: 'refused', reason, retryAfterMilliseconds: Math.ceil(after)};
}
