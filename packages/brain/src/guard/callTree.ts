// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which running calls of this box make which nested calls. */

import type {GuardCall} from './guardCall.js';
import {NestedCapacity} from './nestedCapacity.js';
import type {NestedShortage} from './nestedCapacity.js';
import {NestedShares} from './nestedShares.js';
import {RunningCalls} from './runningCalls.js';
import type {CallKind, ParentCall} from './runningCalls.js';

/** How a nested call ended, as far as its service is concerned. */
export type NestedCallEnd =
  | 'served'
  /** Refused as not run, because no slot was free in time. */
  | 'no-capacity'
  /** Refused for other reasons, or answered with a server error. */
  | 'failed'
  /** The call that made it gave it up. */
  | 'given-up';

/** The end of a nested call. */
export interface NestedCallResult {
  readonly parentRequestId: string;
  readonly service: string;
  /** Inherited from the root, without lateness. */
  readonly priority: number;
  readonly end: NestedCallEnd;
  /** Retry-after time of a refusal, if it has one. */
  readonly retryAfterMilliseconds?: number | undefined;
}

/** The parts of the call tree that are in use. */
export interface CallTreeSettings {
  readonly tracksNestedCalls: boolean;
  readonly refusesBusyParents: boolean;
}

/** Tracks the calls that run here and answers for their nested calls. */
export class CallTree {
  private readonly running = new RunningCalls();
  private readonly shares = new NestedShares();
  private readonly capacity = new NestedCapacity();
  /** Services called by running calls, by call id. */
  private readonly called = new Map<string, Set<string>>();
  /** Ids of running calls with a nested call that was not served. */
  private readonly failedByNested = new Set<string>();
  /** Whether any nested call with the id of its parent was seen. */
  private hasSeenParentIds = false;

  constructor(private readonly settings: CallTreeSettings) {}

  /** Records a call that was offered, possibly by another box. */
  offered({isNested}: GuardCall): void {
    this.hasSeenParentIds ||= isNested === true;
  }

  /** Records that a call was sent to its upstream. */
  started(call: GuardCall): void {
    this.running.add(call);
  }

  /**
   * Records that a call has ended or lost its slot.
   * @param isComplete Whether it ran to its end without an error.
   */
  ended(now: number, callId: string, isComplete: boolean): void {
    const call = this.running.remove(now, callId);
    const called = this.called.get(callId);
    this.called.delete(callId);
    this.failedByNested.delete(callId);
    // A call that broke off might have made further nested calls.
    if (call !== undefined && (isComplete || called !== undefined)) {
      this.shares.add(kindOf(call), called ?? new Set());
    }
    this.capacity.ended(now, callId);
  }

  /** Records that a running call calls a service. */
  nestedBegan(parentRequestId: string, service: string): void {
    for (const callId of this.running.idsOf(parentRequestId)) {
      const services = this.called.get(callId) ?? new Set();
      this.called.set(callId, services.add(service));
    }
  }

  /** Records the end of a nested call. */
  nestedEnded(now: number, result: NestedCallResult): void {
    const {parentRequestId, service, priority, end} = result;
    const {retryAfterMilliseconds} = result;
    if (end === 'served') {
      this.capacity.served(service, priority);
    } else if (end === 'no-capacity') {
      this.capacity.refused(
        now,
        service,
        priority,
        parentRequestId,
        retryAfterMilliseconds,
      );
    }
    if (end === 'no-capacity' || end === 'failed') {
      this.running
        .idsOf(parentRequestId)
        .forEach((callId) => this.failedByNested.add(callId));
    }
  }

  /**
   * Whether a nested call of a running call was not served, which explains a
   * failure of the running call.
   */
  hasFailedNested(callId: string): boolean {
    return this.failedByNested.has(callId);
  }

  /**
   * The lack of capacity, for the priority of a call, of a service that it is
   * likely to call; undefined if the call may start now.
   */
  shortage(now: number, call: GuardCall): NestedShortage | undefined {
    return this.settings.refusesBusyParents
      ? this.capacity.shortage(now, this.needs(call), call.priority)
      : undefined;
  }

  /** Records that a call got its slot; ended() must follow. */
  gotSlot(now: number, call: GuardCall): void {
    this.capacity.admitted(now, call.id, this.needs(call), call.priority);
  }

  private needs(call: GuardCall): readonly string[] {
    return this.shares.neededBy(kindOf(call));
  }

  /**
   * The running call that a call of some kind names as its parent, if any. One
   * of the same kind is taken for a caller's repeat with a similar id.
   */
  parent(
    requestId: string,
    {service, route}: CallKind,
  ): ParentCall | undefined {
    const parent = this.settings.tracksNestedCalls
      ? this.running.parent(requestId)
      : undefined;
    if (parent?.service === service && parent.route === route) {
      return undefined;
    }
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
    if (!this.settings.tracksNestedCalls || !this.hasSeenParentIds) {
      return undefined;
    }
    return (
      parentRequestId !== undefined &&
      this.running.isRepeat(now, parentRequestId)
    );
  }
}

/** Identifies a kind of call; routes of different services may be alike. */
function kindOf({service, route}: CallKind): string {
  return `${service} ${route}`;
}
