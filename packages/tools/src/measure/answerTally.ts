// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Counts the answers that callers got, by customer. */

import {FIRST_SERVER_ERROR_STATUS} from '@lockpin/utils';

interface OpenCall {
  readonly customer: string;
  readonly startedAt: number;
  status: number;
}

/** Keeps the time of every call that was answered well. */
export class AnswerTally {
  /** Milliseconds that calls took, by customer. */
  readonly answeredWell = new Map<string, number[]>();
  private readonly open = new Map<string, OpenCall>();

  began(now: number, callId: string, customer: string): void {
    this.open.set(callId, {customer, startedAt: now, status: 0});
  }

  /** An upstream answered; a retry may still take its place. */
  heard(callId: string, status: number): void {
    const call = this.open.get(callId);
    if (call !== undefined) {
      call.status = status;
    }
  }

  refused(callId: string): void {
    this.open.delete(callId);
  }

  /** The answer heard last goes to the caller. */
  passed(now: number, callId: string): void {
    const call = this.open.get(callId);
    this.open.delete(callId);
    if (call === undefined || call.status >= FIRST_SERVER_ERROR_STATUS) {
      return;
    }
    const times = this.answeredWell.get(call.customer) ?? [];
    times.push(now - call.startedAt);
    this.answeredWell.set(call.customer, times);
  }
}
