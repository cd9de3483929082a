// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Records the durations of successful calls, by customer. */

import {FIRST_SERVER_ERROR_STATUS} from '@lockpin/utils';

interface OpenCall {
  readonly customer: string;
  readonly startedAt: number;
  status: number;
}

/** Tracks open calls and records how long the successful ones took. */
export class AnswerTally {
  /** Durations of successful calls in milliseconds, by customer. */
  readonly successDurations = new Map<string, number[]>();
  private readonly openCalls = new Map<string, OpenCall>();

  callStarted(now: number, callId: string, customer: string): void {
    this.openCalls.set(callId, {customer, startedAt: now, status: 0});
  }

  /** Notes the status of the latest answer; a retry may replace it. */
  answerReceived(callId: string, status: number): void {
    const call = this.openCalls.get(callId);
    if (call !== undefined) {
      call.status = status;
    }
  }

  callRefused(callId: string): void {
    this.openCalls.delete(callId);
  }

  /** Forwards the latest answer to the caller and ends the call. */
  answerForwarded(now: number, callId: string): void {
    const call = this.openCalls.get(callId);
    this.openCalls.delete(callId);
    if (call === undefined || call.status >= FIRST_SERVER_ERROR_STATUS) {
      return;
    }
    const times = this.successDurations.get(call.customer) ?? [];
    times.push(now - call.startedAt);
    this.successDurations.set(call.customer, times);
  }
}
