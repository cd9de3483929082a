// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The calls that the upstreams of this box run, by the ids of their requests. */

import type {GuardCall} from './guardCall.js';

/** A kind of call: a route of a service. */
export type CallKind = Pick<GuardCall, 'service' | 'route'>;

/** What a nested call takes over from the call that makes it. */
export interface ParentCall extends CallKind {
  readonly customer: string;
  readonly weight: number;
  /** As offered to the guard; lateness is still included. */
  readonly priority: number;
  /** By the local clock, in milliseconds since 1970. */
  readonly deadline: number;
  /** Whether it counts as a repeat, so that its nested calls do as well. */
  readonly isRepeat: boolean;
}

/**
 * An upstream may go on working on a call that was aborted, and make nested
 * calls. Longer than the time limits of the known deployments.
 */
const ENDED_REPEAT_MILLISECONDS = 30_000;

/** Bounds the memory for repeats that have ended. */
const MAXIMUM_ENDED_REPEATS = 2000;

/** Index of the running calls; pure bookkeeping. */
export class RunningCalls {
  private readonly byId = new Map<string, GuardCall>();
  private readonly byRequest = new Map<string, readonly GuardCall[]>();
  /** When repeats ended, by request id, in this order. */
  private readonly endedRepeats = new Map<string, number>();

  /** Records a call that is sent to its upstream. */
  add(call: GuardCall): void {
    const {id, requestId = ''} = call;
    this.byId.set(id, call);
    if (requestId !== '') {
      this.byRequest.set(requestId, [...this.callsOf(requestId), call]);
    }
  }

  /** Removes a call; undefined if it was not running. */
  remove(now: number, callId: string): GuardCall | undefined {
    const call = this.byId.get(callId);
    if (call === undefined) {
      return undefined;
    }
    this.byId.delete(callId);
    this.removeFromRequest(now, call);
    return call;
  }

  /**
   * The running call with a request id. Callers that use an id twice get the
   * properties of the later call.
   */
  parent(requestId: string): ParentCall | undefined {
    const calls = this.callsOf(requestId);
    const latest = calls.at(-1);
    if (latest === undefined) {
      return undefined;
    }
    const {service, route, customer, weight, priority, deadline} = latest;
    const isRepeat = calls.some(countsAsRepeat);
    const kind = {service, route};
    return {...kind, customer, weight, priority, deadline, isRepeat};
  }

  /** The ids of the running calls with a request id. */
  idsOf(requestId: string): readonly string[] {
    return this.callsOf(requestId).map(({id}) => id);
  }

  /** Whether a call with this request id runs as a repeat, or did recently. */
  isRepeat(now: number, requestId: string): boolean {
    const endedAt = this.endedRepeats.get(requestId);
    const hasJustEnded =
      endedAt !== undefined && now - endedAt <= ENDED_REPEAT_MILLISECONDS;
    return hasJustEnded || this.callsOf(requestId).some(countsAsRepeat);
  }

  private callsOf(requestId: string): readonly GuardCall[] {
    return this.byRequest.get(requestId) ?? [];
  }

  private removeFromRequest(now: number, call: GuardCall): void {
    const {id, requestId = ''} = call;
    const others = this.callsOf(requestId).filter((other) => other.id !== id);
    if (others.length > 0) {
      this.byRequest.set(requestId, others);
    } else {
      this.byRequest.delete(requestId);
    }
    if (requestId !== '' && countsAsRepeat(call)) {
      this.repeatEnded(now, requestId);
    }
  }

  private repeatEnded(now: number, requestId: string): void {
    this.endedRepeats.delete(requestId);
    this.endedRepeats.set(requestId, now);
    for (const [id, endedAt] of this.endedRepeats) {
      const isRecent = now - endedAt <= ENDED_REPEAT_MILLISECONDS;
      if (isRecent && this.endedRepeats.size <= MAXIMUM_ENDED_REPEATS) {
        break;
      }
      this.endedRepeats.delete(id);
    }
  }
}

/** Whether a call, and so the calls that it makes, counts as a repeat. */
function countsAsRepeat({attempt, mayBeRepeat}: GuardCall): boolean {
  return attempt > 1 || mayBeRepeat === true;
}
