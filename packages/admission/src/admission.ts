// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Admission control: runs, queues or refuses the calls to an upstream. */

import type {RefusalReason} from '@lockpin/types';
import type {
  AdmissionDecision,
  AdmissionOptions,
  DispatchResult,
} from './admissionMessages.js';
import {AdaptiveLimit} from './adaptiveLimit.js';
import {BoundedQueue} from './boundedQueue.js';
import type {
  ConcurrencyLimit,
  CreateConcurrencyLimit,
} from './concurrencyLimit.js';
import {isTooLateToWait} from './expectedWait.js';
import type {ExpectedWait} from './expectedWait.js';
import {hopelessCalls} from './hopelessCalls.js';
import {isTooLateFor} from './waitingCall.js';
import type {WaitingCall} from './waitingCall.js';
import {RequestRate} from './requestRate.js';

/** Weight of the latest call in the moving average of durations. */
const DURATION_WEIGHT = 0.1;

/** Expected duration before any call has ended. */
const FIRST_DURATION_MILLISECONDS = 10;

/**
 * A call that has run for this multiple of its expected duration may never end,
 * so no call should wait for its slot. 4 % of the calls of a healthy upstream
 * take that long.
 */
const STUCK_FACTOR = 4;

/** Retry-after when no slot is expected to be freed. */
const STUCK_RETRY_MILLISECONDS = 500;

/**
 * A call that may wait is offered to several upstreams before it is refused, and
 * will use only one of them when it comes back.
 */
const WAITING_OFFER_SHARE = 0.25;

interface RunningEntry {
  readonly call: WaitingCall;
  readonly startedAt: number;
  /** Whether it counts for the stated limit. */
  readonly hasToken: boolean;
}

/** Admission control of a guard for one upstream. */
export class Admission {
  /** The limit of calls per second that the upstream states. */
  readonly rate = new RequestRate();
  /** The limit of concurrent calls. */
  readonly limit: ConcurrencyLimit;
  private readonly queue: BoundedQueue;
  private readonly running = new Map<string, RunningEntry>();
  private duration = FIRST_DURATION_MILLISECONDS;

  constructor(
    private slots: number,
    cold: boolean,
    private readonly options: AdmissionOptions = {},
  ) {
    const {burstCallsFor, createLimit = createAdaptiveLimit} = options;
    this.queue = new BoundedQueue(slots, burstCallsFor);
    this.limit = createLimit(slots, cold);
  }

  /** Running and queued calls. */
  get occupied(): number {
    return this.running.size + this.queue.size;
  }

  get runningCount(): number {
    return this.running.size;
  }

  get currentLimit(): number {
    return this.limit.current;
  }

  /** Expected duration of a call, in milliseconds. */
  get expectedDuration(): number {
    return this.duration;
  }

  /** Slots that calls at the stated limit occupy; undefined without a limit. */
  get usableSlots(): number | undefined {
    const {limit} = this.rate;
    return limit === undefined
      ? undefined
      : Math.min(this.slots, (limit * this.duration) / 1000);
  }

  setSlots(slots: number): void {
    this.slots = slots;
    this.queue.setSlots(slots);
    this.limit.setSlots(slots);
  }

  /** Decides on a new call. */
  offer(now: number, call: WaitingCall): AdmissionDecision {
    if (this.mayStart(now) && this.queue.size === 0) {
      return this.startOrRefuse(now, call);
    }
    const turn = this.queue.aheadOf(call) + 1;
    const wait = this.waitOf(now, turn, call.priority);
    if (call.mayWait === false) {
      return this.refuse(now, 'upstream-busy', wait);
    }
    if (isTooLateToWait(now, call, this.expectedOf(call), wait)) {
      return this.refuse(now, 'deadline-too-short', wait, WAITING_OFFER_SHARE);
    }
    if (this.queue.isOverShare(call)) {
      return refused('customer-over-share', wait.milliseconds);
    }
    const displaced = this.queue.makeRoom(call);
    if (displaced === 'none') {
      return this.refuse(now, 'queue-full', wait, WAITING_OFFER_SHARE);
    }
    this.queue.add(call);
    return {kind: 'queued', displaced};
  }

  /** Ends a running call and fills its slot; ignores undefined durations. */
  finish(
    now: number,
    id: string,
    milliseconds: number | undefined,
  ): DispatchResult {
    this.running.delete(id);
    this.limit.ended(id);
    if (milliseconds !== undefined) {
      this.duration += DURATION_WEIGHT * (milliseconds - this.duration);
    }
    return this.fill(now);
  }

  /** Ends a call that was not sent; it does not count for the limit. */
  release(now: number, id: string): DispatchResult {
    if (this.running.get(id)?.hasToken === true) {
      this.rate.giveBack(now);
    }
    return this.finish(now, id, undefined);
  }

  /** Milliseconds until the stated limit allows another call. */
  waitForLimit(now: number): number {
    return this.rate.waitBehindRefused(now, this.queue.size + 1);
  }

  /**
   * Milliseconds until a usual call would get a slot: 0 if one is free,
   * infinite if all are held by calls that may never end.
   */
  waitForSlot(now: number): number {
    return this.waitForTurn(now, this.queue.size + 1);
  }

  /** Queued calls. */
  waiting(): readonly WaitingCall[] {
    return this.queue.all();
  }

  /** Removes a queued call, so that it can never run; false if not queued. */
  withdraw(id: string): boolean {
    return this.queue.remove(id);
  }

  /** Expires queued calls that are too late, and starts those that fit. */
  expireAndStart(now: number): DispatchResult {
    const late = this.lateCalls(now);
    late.forEach(({id}) => this.queue.remove(id));
    const filled = this.fill(now);
    return {started: filled.started, expired: [...late, ...filled.expired]};
  }

  /** Removes all queued calls, since no new call may start. */
  drainQueue(): readonly WaitingCall[] {
    const calls: WaitingCall[] = [];
    for (let call = this.queue.take(); call; call = this.queue.take()) {
      calls.push(call);
    }
    return calls;
  }

  /** The upstream shed a running call. */
  shed(now: number, id: string): void {
    this.limit.shed(now, id, this.running.get(id)?.startedAt ?? now);
  }

  private startOrRefuse(now: number, call: WaitingCall): AdmissionDecision {
    if (now >= call.deadline) {
      return refused('deadline-too-short', 0);
    }
    this.start(now, call);
    this.queue.startedDirectly(call);
    return {kind: 'start'};
  }

  private mayStart(now: number): boolean {
    this.limit.advance(now);
    return this.running.size < this.limit.current && this.rate.hasToken(now);
  }

  private start(now: number, call: WaitingCall): void {
    const hasToken = this.rate.limit !== undefined;
    this.rate.take(now, call.priority);
    this.running.set(call.id, {call, startedAt: now, hasToken});
  }

  /**
   * Refuses a call; the reason only applies if it waits for a slot. The share is
   * the part of a call that is expected to come back to this upstream.
   */
  private refuse(
    now: number,
    reason: RefusalReason,
    {milliseconds, isForLimit}: ExpectedWait,
    share = 1,
  ): AdmissionDecision {
    if (!isForLimit) {
      return refused(reason, milliseconds);
    }
    const behindRefused = this.waitForLimit(now);
    const wait = Number.isFinite(milliseconds)
      ? Math.max(milliseconds, behindRefused)
      : behindRefused;
    this.rate.refused(now, share);
    return refused('upstream-over-limit', wait);
  }

  private fill(now: number): DispatchResult {
    const started: WaitingCall[] = [];
    const expired: WaitingCall[] = [];
    while (this.mayStart(now)) {
      const call = this.queue.take();
      if (call === undefined) {
        break;
      }
      if (isTooLateFor(call, now, this.expectedOf(call))) {
        expired.push(call);
        continue;
      }
      this.start(now, call);
      started.push(call);
    }
    return {started, expired};
  }

  private lateCalls(now: number): readonly WaitingCall[] {
    const durationOf = (call: WaitingCall): number => this.expectedOf(call);
    return this.options.removesHopeless === true
      ? hopelessCalls(now, this.queue.inOrder(), {
          durationOf,
          waitFor: (turn, {priority}) => this.waitOf(now, turn, priority),
        })
      : this.queue.expired(now, durationOf);
  }

  private expectedOf({expectedMilliseconds}: WaitingCall): number {
    return expectedMilliseconds ?? this.duration;
  }

  /** Infinite when all slots are held by calls that may never end. */
  private waitOf(now: number, turn: number, priority: number): ExpectedWait {
    const forLimit = this.rate.waitForTurn(now, turn, priority);
    const forSlot = this.waitForTurn(now, turn);
    return {
      milliseconds: Math.max(forLimit, forSlot),
      isForLimit: forLimit > forSlot,
    };
  }

  private waitForTurn(now: number, turn: number): number {
    return this.running.size + turn <= this.limit.current
      ? 0
      : (turn / this.availableSlots(now)) * this.duration;
  }

  /**
   * Slots that are free or expected to be freed. A call without an expected
   * duration never counts as stuck, since it may simply take long.
   */
  private availableSlots(now: number): number {
    const entries = [...this.running.values()];
    const stuck = entries.filter(
      ({call: {expectedMilliseconds: expected}, startedAt}) =>
        expected !== undefined && now - startedAt > STUCK_FACTOR * expected,
    );
    return Math.max(0, this.limit.current - stuck.length);
  }
}

function refused(reason: RefusalReason, wait: number): AdmissionDecision {
  const after = Number.isFinite(wait) ? wait : STUCK_RETRY_MILLISECONDS;
  return {kind: 'refused', reason, retryAfterMilliseconds: Math.ceil(after)};
}

const createAdaptiveLimit: CreateConcurrencyLimit = (slots, cold) =>
  new AdaptiveLimit(slots, cold);
