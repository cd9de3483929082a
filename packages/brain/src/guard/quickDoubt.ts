// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Quick doubt of one upstream, where the guard has it, and its evidence. */

import {Doubt, HangEvidence} from '@lockpin/detection';
import type {CallEvidenceKind} from '@lockpin/detection';
import type {GuardSettings} from './guardMessages.js';

/**
 * Entries offer calls again this soon after an upstream refused them as uncertain. Calls
 * take a few hundred milliseconds, and most offers before the next answer are refused.
 */
const UNCERTAIN_MILLISECONDS = 500;

/**
 * Strength of the evidence of hanging from which calls that cannot be repeated go
 * elsewhere: what is seen is three times as likely from an upstream that hangs. That
 * costs little where it is wrong, and ends with the next answers or call interval.
 */
const CAUTIOUS_AT = 1.2;

/** Strength from which the upstream is doubted: thirty times as likely. */
const DOUBTED_AT = 3.5;

/**
 * Interval between calls while none has succeeded yet, as a share of their usual
 * duration. Calls overlap, so that a single hung call does not block the upstream.
 */
const UNPROVEN_INTERVAL_SHARE = 0.25;

/**
 * An uncertain upstream may get its next call this long after the last one started, at
 * the latest. A hung call would otherwise block calls that cannot be repeated until it
 * ends.
 */
const LONGEST_CALL_INTERVAL_MILLISECONDS = 1000;

/** What of it is on. */
export type QuickDoubtSettings = Pick<
  GuardSettings,
  'hasQuickDoubt' | 'hasHangEvidence' | 'isCautious' | 'heldUpCalls'
>;

/** Why calls to an upstream are refused as 'upstream-doubted'. */
export type DoubtReason =
  /** No call has succeeded yet, and the interval since the last one has not passed. */
  | 'unproven'
  /** Unanswered calls are taking longer than usual. */
  | 'late-calls'
  /** Recent calls failed, were refused or were slow, or calls are hanging. */
  | 'bad-calls';

/** Counts each call's evidence once; doubts nothing where it is off. */
export class QuickDoubt {
  private readonly doubt = new Doubt();
  private readonly evidence = new HangEvidence();
  /** Calls that were taken as evidence of hanging before they ended. */
  private readonly counted = new Set<string>();
  private lastStartedAt = Number.NEGATIVE_INFINITY;
  /** Earliest time of the next call while none has succeeded. */
  private nextUnprovenCallAt = 0;

  constructor(private readonly settings: QuickDoubtSettings) {}

  private get isOn(): boolean {
    return this.settings.hasQuickDoubt;
  }

  /** The upstream failed too often to be offered calls at large. */
  isDoubted(now: number): boolean {
    return this.isOn && this.doubt.isDoubted(now);
  }

  /** The evidence that last began or renewed doubt. */
  get cause(): Doubt['cause'] {
    return this.doubt.cause;
  }

  /**
   * Whether calls that cannot be repeated are refused for now. The refusal lapses when
   * no call has started for a while, even if none has been answered.
   */
  isUncertain(now: number, isIdle: boolean): boolean {
    return (
      this.isOn && (this.isUnproven(now, isIdle) || this.looksLikeHanging(now))
    );
  }

  /**
   * Why calls are refused at this time; undefined when none are. If several reasons
   * apply, 'bad-calls' takes precedence over 'unproven', and that over 'late-calls'.
   */
  reason(now: number, isIdle: boolean): DoubtReason | undefined {
    if (this.isDoubted(now)) {
      return 'bad-calls';
    }
    if (!this.isUncertain(now, isIdle)) {
      return undefined;
    }
    return this.isUnproven(now, isIdle) ? 'unproven' : 'late-calls';
  }

  private isUnproven(now: number, isIdle: boolean): boolean {
    return !this.doubt.isProven && !isIdle && now < this.nextUnprovenCallAt;
  }

  private looksLikeHanging(now: number): boolean {
    const hasRecentCall =
      now - this.lastStartedAt < LONGEST_CALL_INTERVAL_MILLISECONDS;
    return (
      this.settings.isCautious &&
      hasRecentCall &&
      this.hangStrength(now) >= CAUTIOUS_AT
    );
  }

  /** How much longer it is doubted, in milliseconds. */
  remaining(now: number): number {
    return this.doubt.remaining(now);
  }

  /** What entries are told of how long it is doubted, in milliseconds. */
  announcedFor(now: number): number {
    return this.isDoubted(now)
      ? this.doubt.remaining(now)
      : UNCERTAIN_MILLISECONDS;
  }

  /** When the next call may find out how it is, in milliseconds from now. */
  untilProbe(now: number): number {
    return this.doubt.untilProbe(now);
  }

  /**
   * A call has its slot; it usually takes so many milliseconds. Under doubt it is a
   * probe.
   */
  started(now: number, usual: number | undefined): void {
    const interval =
      (usual ?? Number.POSITIVE_INFINITY) * UNPROVEN_INTERVAL_SHARE;
    this.lastStartedAt = now;
    this.nextUnprovenCallAt =
      now + Math.min(LONGEST_CALL_INTERVAL_MILLISECONDS, interval);
    if (this.isDoubted(now)) {
      this.doubt.probed(now);
    }
  }

  /** A call goes to the upstream; it usually takes so many milliseconds. */
  sent(now: number, callId: string, usual: number | undefined): void {
    if (this.isOn && this.settings.hasHangEvidence) {
      this.evidence.started(now, callId, usual);
    }
  }

  /** How a call ended; what was counted as hanging is not counted twice. */
  observe(
    now: number,
    callId: string,
    isRunning: boolean,
    kind: CallEvidenceKind,
  ): void {
    const wasCounted = this.counted.delete(callId);
    if (kind === 'broken') {
      this.evidence.forget(callId);
    } else {
      this.evidence.answered(callId);
    }
    if (this.isOn && isRunning && !wasCounted) {
      this.doubt.observe(now, kind);
    }
  }

  /** Looks at calls that have not ended; they count before they do. */
  review(now: number, runningIds: Iterable<string>): void {
    if (!this.isOn || this.isDoubted(now)) {
      return;
    }
    if (this.hangStrength(now) < DOUBTED_AT) {
      return;
    }
    for (const callId of runningIds) {
      this.counted.add(callId);
    }
    this.evidence.reset();
    this.doubt.observe(now, 'hanging');
  }

  private hangStrength(now: number): number {
    return this.evidence.strength(now, this.settings.heldUpCalls());
  }

  /** A call is over, with nothing learnt from it. */
  forget(callId: string): void {
    this.counted.delete(callId);
    this.evidence.forget(callId);
  }
}
