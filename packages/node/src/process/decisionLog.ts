// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * A log with one JSON line for each decision on a call and each state change of
 * the node. The rate of lines is limited separately for successful calls and
 * for all other events. Lines beyond the limit are dropped, and a later line
 * reports how many.
 */

import type {CallRecord} from '../request/attemptHistory.js';
import type {GuardRecord} from '../request/guardRecord.js';
import {LogRateLimiter} from './logRateLimiter.js';

/** Fields of a log line; must not contain secrets or request bodies. */
export type LogDetail = Readonly<Record<string, unknown>>;

/** Lines per second for successful calls. */
const ROUTINE_LINES_PER_SECOND = 60;

/** Lines per second for all other calls and for events. */
const NOTABLE_LINES_PER_SECOND = 120;

/** Burst size of both limits, in seconds of their rate. */
const BURST_SECONDS = 4;

/** Dependencies of the decision log. */
export interface DecisionLogDependencies {
  readonly clock: () => number;
  /** Writes a line; returns false if it was dropped. */
  readonly writeLine: (writeEvent: string) => boolean;
  /** Fields of every line, which identify the process. */
  readonly common: LogDetail;
}

/** Writes the log lines of one process. */
export class DecisionLog {
  private readonly routineLimiter: LogRateLimiter;
  private readonly notableLimiter: LogRateLimiter;

  constructor(private readonly dependencies: DecisionLogDependencies) {
    const {clock} = dependencies;
    this.routineLimiter = new LogRateLimiter(
      clock(),
      ROUTINE_LINES_PER_SECOND,
      BURST_SECONDS,
    );
    this.notableLimiter = new LogRateLimiter(
      clock(),
      NOTABLE_LINES_PER_SECOND,
      BURST_SECONDS,
    );
  }

  /** Logs the end of a call at the entry. */
  call(record: CallRecord): void {
    const isRoutine =
      record.outcome === 'answered' && record.attempts.length <= 1;
    this.write(isRoutine ? this.routineLimiter : this.notableLimiter, 'call', {
      ...record,
    });
  }

  /** Logs the end of a call at the guard of its upstream. */
  guardCall({
    head,
    notice,
    limit,
    limits,
    shortage,
    ...record
  }: GuardRecord): void {
    const isRoutine = record.outcome === 'answered';
    this.write(
      isRoutine ? this.routineLimiter : this.notableLimiter,
      'guard-call',
      {
        requestId: head.requestId,
        requestDigest: head.requestDigest,
        route: head.route,
        terms: head.terms,
        attempt: head.attempt,
        isNested: head.isNested ? true : undefined,
        expectedMilliseconds: head.expectedMilliseconds,
        ...record,
        ...limits,
        busyService: shortage?.service,
        busyPriority: shortage?.priority,
        busyAge: shortage && Math.round(shortage.age),
        limitPerSecond: limit?.requestsPerSecond,
        limitAge: limit && Math.round(limit.age),
        statedLimit: notice?.requestsPerSecond ?? notice?.unreadableLimit,
        statedLeaving: notice?.isLeaving === true ? true : undefined,
      },
    );
  }

  /**
   * Logs an event of the process, such as a start, a reload or a state change.
   */
  event(event: string, detail: LogDetail): void {
    this.write(this.notableLimiter, event, detail);
  }

  /**
   * Logs why the process ends; the limit of lines does not apply, as nothing
   * else shows it.
   */
  lastEvent(event: string, detail: LogDetail): void {
    this.writeEvent(this.dependencies.clock(), event, detail);
  }

  private write(
    rateLimiter: LogRateLimiter,
    event: string,
    detail: LogDetail,
  ): void {
    const now = this.dependencies.clock();
    if (!rateLimiter.take(now)) {
      return;
    }
    const leftOut =
      this.routineLimiter.takeDroppedCount() +
      this.notableLimiter.takeDroppedCount();
    if (leftOut > 0) {
      this.writeEvent(now, 'lines-left-out', {count: leftOut});
    }
    this.writeEvent(now, event, detail);
  }

  private writeEvent(now: number, event: string, detail: LogDetail): void {
    const {common, writeLine} = this.dependencies;
    const time = new Date(now).toISOString();
    const text = JSON.stringify({time, event, ...common, ...detail});
    if (!writeLine(text)) {
      this.notableLimiter.leftOut();
    }
  }
}
