// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Short-term doubt about one upstream, and the evidence for it. */

import {Doubt, HangEvidence} from '@lockpin/detection';
import type {CallEvidenceKind} from '@lockpin/detection';
import type {Repetition} from '@lockpin/types';
import type {GuardSettings} from './guardSettings.js';

/**
 * Announced duration of doubt for an uncertain upstream, after which entries
 * offer calls again. Calls take a few hundred milliseconds, and most offers
 * before the next answer are refused.
 */
const UNCERTAIN_RETRY_MILLISECONDS = 500;

/**
 * Strength of the evidence of hanging at which calls that cannot be repeated
 * are refused: the observations are three times as likely from a hanging
 * upstream. A wrong decision costs little and ends with the next answers or
 * call interval.
 */
const UNCERTAIN_STRENGTH = 1.2;

/** Strength at which the upstream is doubted: thirty times as likely. */
const DOUBT_STRENGTH = 3.5;

/**
 * Interval between calls while none has succeeded yet, as a share of their
 * usual duration. Calls overlap, so that a single hung call does not block the
 * upstream.
 */
const UNPROVEN_INTERVAL_SHARE = 0.25;

/**
 * An uncertain upstream gets its next call at the latest this long after the
 * last one started. A hung call would otherwise block calls that cannot be
 * repeated until it ends.
 */
const MAXIMUM_CALL_INTERVAL_MILLISECONDS = 1000;

/**
 * Time without a call after which a doubted upstream gets one that would be
 * refused otherwise. Calls that cannot be repeated come second, as a failure costs
 * their callers more than a refusal.
 */
const TRIAL_INTERVAL_MILLISECONDS: Readonly<Record<Repetition, number>> = {
  repeatable: 1000,
  'at-most-once': 1500,
  'once-only': 1500,
};

/** The guard settings that short-term doubt uses. */
export type QuickDoubtSettings = Pick<
  GuardSettings,
  'hasQuickDoubt' | 'hasHangEvidence' | 'isCautious' | 'heldUpCalls'
> & {
  /** Whether most upstreams of the service reject calls at present. */
  readonly areRejectionsCommon: (now: number) => boolean;
};

/** Why calls to an upstream are refused as 'upstream-doubted'. */
export type DoubtReason =
  /**
   * No call has succeeded, or none since doubt last began, and the interval
   * since the last one has not passed.
   */
  | 'unproven'
  /** Unanswered calls are taking longer than usual. */
  | 'late-calls'
  /** Recent calls failed, were refused or were slow, or calls are hanging. */
  | 'bad-calls';

/** Counts the evidence of each call once; no effect if switched off. */
export class QuickDoubt {
  private readonly doubt = new Doubt();
  private readonly evidence = new HangEvidence();
  /** Calls counted as evidence of hanging before they ended. */
  private readonly countedAsHanging = new Set<string>();
  private lastStartedAt = Number.NEGATIVE_INFINITY;
  /** Earliest time of the next call as long as none has succeeded. */
  private nextUnprovenCallAt = 0;

  constructor(private readonly settings: QuickDoubtSettings) {}

  private get isEnabled(): boolean {
    return this.settings.hasQuickDoubt;
  }

  /** Whether the upstream is doubted because of bad calls. */
  isDoubted(now: number): boolean {
    return this.isEnabled && this.doubt.isDoubted(now);
  }

  /** The evidence that last began or renewed doubt. */
  get cause(): Doubt['cause'] {
    return this.doubt.cause;
  }

  /**
   * Whether calls that cannot be repeated are refused for now. The refusal
   * lapses when no call has started for a while, even if none has been
   * answered.
   */
  isUncertain(now: number, isIdle: boolean): boolean {
    return (
      this.isEnabled &&
      (this.isUnproven(now, isIdle) || this.appearsToHang(now))
    );
  }

  /**
   * Why calls are refused at this time; undefined when none are. If several
   * reasons apply, 'bad-calls' takes precedence over 'unproven', and that over
   * 'late-calls'.
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

  private appearsToHang(now: number): boolean {
    const hasRecentCall =
      now - this.lastStartedAt < MAXIMUM_CALL_INTERVAL_MILLISECONDS;
    return (
      this.settings.isCautious &&
      hasRecentCall &&
      this.hangStrength(now) >= UNCERTAIN_STRENGTH
    );
  }

  /** Remaining duration of doubt, in milliseconds. */
  remaining(now: number): number {
    return this.doubt.remaining(now);
  }

  /** Duration of doubt that is announced to entries, in milliseconds. */
  announcedMilliseconds(now: number): number {
    return this.isDoubted(now)
      ? this.doubt.remaining(now)
      : UNCERTAIN_RETRY_MILLISECONDS;
  }

  /**
   * Whether a call that would be refused otherwise may run in spite of doubt. The
   * cause of doubt may have ended, which only a call can show.
   */
  isTrialDue(now: number, repetition: Repetition): boolean {
    const idleFor = now - this.lastStartedAt;
    return idleFor >= TRIAL_INTERVAL_MILLISECONDS[repetition];
  }

  /** Milliseconds until the next probe is allowed. */
  millisecondsUntilProbe(now: number): number {
    return this.doubt.millisecondsUntilProbe(now);
  }

  /**
   * Records that a call got its slot, with its usual duration in milliseconds.
   * During doubt the call counts as a probe.
   */
  started(now: number, usual: number | undefined): void {
    const interval =
      (usual ?? Number.POSITIVE_INFINITY) * UNPROVEN_INTERVAL_SHARE;
    this.lastStartedAt = now;
    this.nextUnprovenCallAt =
      now + Math.min(MAXIMUM_CALL_INTERVAL_MILLISECONDS, interval);
    if (this.isDoubted(now)) {
      this.doubt.recordProbe(now);
    }
  }

  /** Records that a call was sent, with its usual duration in milliseconds. */
  sent(now: number, callId: string, usual: number | undefined): void {
    if (this.isEnabled && this.settings.hasHangEvidence) {
      this.evidence.started(now, callId, usual);
    }
  }

  /**
   * Records the outcome of a call unless it was counted as hanging or has
   * already ended.
   * @param startedAt When it got its slot; undefined once it has ended.
   */
  observe(
    now: number,
    callId: string,
    startedAt: number | undefined,
    kind: CallEvidenceKind,
  ): void {
    const wasCounted = this.countedAsHanging.delete(callId);
    if (kind === 'broken') {
      this.evidence.forget(callId);
    } else {
      this.evidence.answered(callId);
    }
    const isIgnored = kind === 'refused' && this.areRejectionsCommon(now);
    if (
      this.isEnabled &&
      startedAt !== undefined &&
      !wasCounted &&
      !isIgnored
    ) {
      this.doubt.observe(now, kind, startedAt);
    }
  }

  /**
   * Begins doubt if the running calls show that the upstream hangs. Ends doubt
   * that rejections began if most upstreams of the service reject calls.
   */
  review(now: number, runningIds: Iterable<string>): void {
    if (
      this.isDoubted(now) &&
      this.cause === 'refused' &&
      this.areRejectionsCommon(now)
    ) {
      this.doubt.end(now);
    }
    if (!this.isEnabled || this.isDoubted(now)) {
      return;
    }
    if (this.hangStrength(now) < DOUBT_STRENGTH) {
      return;
    }
    for (const callId of runningIds) {
      this.countedAsHanging.add(callId);
    }
    this.evidence.reset();
    this.doubt.observe(now, 'hanging');
  }

  private areRejectionsCommon(now: number): boolean {
    return this.settings.areRejectionsCommon(now);
  }

  private hangStrength(now: number): number {
    return this.evidence.strength(now, this.settings.heldUpCalls());
  }

  /** Drops a call that ended without evidence about the upstream. */
  forget(callId: string): void {
    this.countedAsHanging.delete(callId);
    this.evidence.forget(callId);
  }
}
