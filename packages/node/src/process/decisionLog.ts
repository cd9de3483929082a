// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * One JSON line for each decision that touches a call or changes what the node
 * believes. The volume is bounded: beyond it, calls that went well are counted
 * rather than written, and a line says how many.
 */

import type {CallRecord} from '../request/callStory.js';
import type {GuardRecord} from '../request/guardRecord.js';
import {LineAllowance} from './lineAllowance.js';

/** Fields of a line; never a secret or a caller's body. */
export type LogDetail = Readonly<Record<string, unknown>>;

/** Lines a second for calls that went well. */
const ROUTINE_LINES_PER_SECOND = 60;

/** Lines a second for all that did not, and for events. */
const NOTABLE_LINES_PER_SECOND = 120;

/** What may come at once after a quiet time, in seconds' worth of lines. */
const BURST_SECONDS = 4;

/** What the log needs of its process. */
export interface DecisionLogDependencies {
  readonly clock: () => number;
  /** Takes a line; false when it was dropped. */
  readonly writeLine: (line: string) => boolean;
  /** Fields of every line: which process this is. */
  readonly common: LogDetail;
}

/** Writes the lines of one process. */
export class DecisionLog {
  private readonly routine: LineAllowance;
  private readonly notable: LineAllowance;

  constructor(private readonly dependencies: DecisionLogDependencies) {
    const {clock} = dependencies;
    this.routine = new LineAllowance(
      clock(),
      ROUTINE_LINES_PER_SECOND,
      BURST_SECONDS,
    );
    this.notable = new LineAllowance(
      clock(),
      NOTABLE_LINES_PER_SECOND,
      BURST_SECONDS,
    );
  }

  /** A call ended at the entry. */
  call(record: CallRecord): void {
    const isRoutine =
      record.outcome === 'answered' && record.attempts.length <= 1;
    this.write(isRoutine ? this.routine : this.notable, 'call', {...record});
  }

  /** A call ended at the guard of its upstream. */
  guardCall({head, ...record}: GuardRecord): void {
    const isRoutine = record.outcome === 'answered';
    this.write(isRoutine ? this.routine : this.notable, 'guard-call', {
      requestId: head.requestId,
      requestDigest: head.requestDigest,
      route: head.route,
      terms: head.terms,
      attempt: head.attempt,
      expectedMilliseconds: head.expectedMilliseconds,
      ...record,
    });
  }

  /** The process begins, ends, reads its settings, or believes otherwise. */
  event(event: string, detail: LogDetail): void {
    this.write(this.notable, event, detail);
  }

  private write(
    allowance: LineAllowance,
    event: string,
    detail: LogDetail,
  ): void {
    const now = this.dependencies.clock();
    if (!allowance.take(now)) {
      return;
    }
    const leftOut = this.routine.takeLeftOut() + this.notable.takeLeftOut();
    if (leftOut > 0) {
      this.line(now, 'lines-left-out', {count: leftOut});
    }
    this.line(now, event, detail);
  }

  private line(now: number, event: string, detail: LogDetail): void {
    const {common, writeLine} = this.dependencies;
    const time = new Date(now).toISOString();
    const text = JSON.stringify({time, event, ...common, ...detail});
    if (!writeLine(text)) {
      this.notable.leftOut();
    }
  }
}
