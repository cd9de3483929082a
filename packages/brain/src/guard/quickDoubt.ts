// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Quick doubt of one upstream, where the guard has it, and its evidence. */

import {Doubt} from '@lockpin/detection';
import type {CallEvidenceKind} from '@lockpin/detection';

/** Entries ask again this soon after an upstream that has answered no call. */
const UNPROVEN_MILLISECONDS = 200;

/** Counts each call's evidence once; doubts nothing where it is off. */
export class QuickDoubt {
  private readonly doubt = new Doubt();
  /** Calls whose lateness was already taken as evidence. */
  private readonly countedLate = new Set<string>();

  constructor(private readonly isOn: boolean) {}

  /** The upstream failed too often to be offered calls at large. */
  isDoubted(now: number): boolean {
    return this.isOn && this.doubt.isDoubted(now);
  }

  /** The upstream has answered no call yet. */
  get isUnproven(): boolean {
    return this.isOn && !this.doubt.isProven;
  }

  /** How much longer it is doubted, in milliseconds. */
  remaining(now: number): number {
    return this.doubt.remaining(now);
  }

  /** What entries are told of how long it is doubted, in milliseconds. */
  announcedFor(now: number): number {
    return this.isDoubted(now)
      ? this.doubt.remaining(now)
      : UNPROVEN_MILLISECONDS;
  }

  /** When the next call may find out how it is, in milliseconds from now. */
  untilProbe(now: number): number {
    return this.doubt.untilProbe(now);
  }

  /** A call begins; under doubt it is the one that finds out. */
  started(now: number): void {
    if (this.isDoubted(now)) {
      this.doubt.probed(now);
    }
  }

  /** How a call ended; what was counted as late is not counted twice. */
  observe(
    now: number,
    callId: string,
    isRunning: boolean,
    kind: CallEvidenceKind,
  ): void {
    const wasCounted = this.countedLate.delete(callId);
    if (this.isOn && isRunning && !wasCounted) {
      this.doubt.observe(now, kind);
    }
  }

  /** Calls that are late count before they end. */
  noteLate(
    now: number,
    callIds: Iterable<string>,
    isLate: (callId: string) => boolean,
  ): void {
    if (!this.isOn) {
      return;
    }
    for (const callId of callIds) {
      if (!this.countedLate.has(callId) && isLate(callId)) {
        this.countedLate.add(callId);
        this.doubt.observe(now, 'overdue');
      }
    }
  }

  /** A call is over, with nothing learnt from it. */
  forget(callId: string): void {
    this.countedLate.delete(callId);
  }
}
