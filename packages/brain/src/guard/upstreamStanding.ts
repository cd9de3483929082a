// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Standing of one upstream: evidence, verdict, ejection and return. */

import {
  ALL_CALLS,
  DETECTION_SETTINGS,
  EjectionCycle,
  GrayDetector,
} from '@lockpin/detection';
import type {CycleTransition, Verdict} from '@lockpin/detection';
import type {Fence, GuardReport, HolderReply} from '@lockpin/floor';
import type {Sensitivity} from '@lockpin/types';
import type {GuardCall} from './guardCall.js';
import type {RunningCall} from './runningCall.js';

/** A change of an upstream's standing, for the timeline. */
export interface StandingChange {
  readonly change: CycleTransition;
  readonly verdict: Verdict;
}

/** Evaluates an upstream by its calls; ejects it when the holder permits. */
export class UpstreamStanding {
  private readonly detector: GrayDetector;
  private readonly cycle: EjectionCycle;
  private lastVerdict: Verdict;
  private severity = 0;
  private sequence = 0;
  private lastDenial = '';
  private wasReportedSuspect = false;

  constructor(
    private readonly name: string,
    sensitivity: Sensitivity,
  ) {
    const settings = DETECTION_SETTINGS[sensitivity];
    this.detector = new GrayDetector(settings);
    this.cycle = new EjectionCycle(settings);
    this.lastVerdict = this.detector.verdict(0);
  }

  configure(sensitivity: Sensitivity): void {
    this.detector.setSettings(DETECTION_SETTINGS[sensitivity]);
    this.cycle.setSettings(DETECTION_SETTINGS[sensitivity]);
  }

  get state(): EjectionCycle['state'] {
    return this.cycle.state;
  }

  get isSuspect(): boolean {
    return this.lastVerdict.suspect;
  }

  /** Why a condemned upstream was last denied a permit; otherwise empty. */
  get denial(): string {
    return this.condemned ? this.lastDenial : '';
  }

  /** Remaining duration of the ejection, in milliseconds. */
  remainingHold(now: number): number {
    return this.cycle.remainingHold(now);
  }

  /** Whether the upstream is on probation and the call may probe it. */
  mayProbe(now: number, {repetition}: GuardCall): boolean {
    return this.cycle.mayProbe(now, repetition === 'repeatable');
  }

  /** Whether a running call has taken far longer than is typical of peers. */
  isOverdue(now: number, {call, startedAt}: RunningCall): boolean {
    return now - startedAt > this.detector.slowAfterMilliseconds(call.route);
  }

  /** Records the outcome of a call, which may be a probe on probation. */
  ended(
    now: number,
    running: RunningCall,
    failed: boolean,
  ): StandingChange | undefined {
    const {route, customer} = running.call;
    const milliseconds = now - running.startedAt;
    this.detector.observe(now, {route, customer, failed, milliseconds});
    return this.probed(now, failed, milliseconds, running) ?? this.assess(now);
  }

  /** Applies changes that are due to elapsed time. */
  review(
    now: number,
    running: Iterable<RunningCall>,
  ): readonly StandingChange[] {
    this.detector.closeWindow(now, () => this.countOverdue(now, running));
    const changes = [
      this.assess(now),
      this.standingChange(this.cycle.review(now)),
    ];
    return changes.filter((change) => change !== undefined);
  }

  /** The report to the permit holder. */
  report(
    now: number,
    identity: {readonly box: string; readonly incarnation: string},
    fence: Fence,
    isDraining: boolean,
  ): GuardReport {
    this.sequence += 1;
    this.wasReportedSuspect = this.lastVerdict.suspect;
    return {
      ...identity,
      upstream: this.name,
      sequence: this.sequence,
      fence,
      state: isDraining ? 'draining' : this.cycle.state,
      suspect: this.lastVerdict.suspect,
      severity: this.cycle.holdsPermit
        ? this.severity
        : this.lastVerdict.severity,
      request: this.cycle.requestNumber,
      summary: this.detector.summary(now),
    };
  }

  /** Applies the reply of the permit holder. */
  replied(now: number, reply: HolderReply): StandingChange | undefined {
    this.detector.setBaseline(reply.baseline);
    const {decision} = reply;
    switch (decision.kind) {
      case 'granted': {
        const change = this.standingChange(
          this.cycle.granted(now, decision.request),
        );
        if (change !== undefined) {
          this.severity = this.lastVerdict.severity;
          this.resetEvidence(now);
        }
        return change;
      }
      case 'revoked':
        return this.standingChange(this.cycle.revoked(now));
      case 'denied':
        this.lastDenial = decision.reason;
        return undefined;
      default:
        return undefined;
    }
  }

  /** Whether the suspect state changed since the last report to the holder. */
  get hasUnreportedChange(): boolean {
    return this.lastVerdict.suspect !== this.wasReportedSuspect;
  }

  get condemned(): boolean {
    return this.cycle.state === 'condemned';
  }

  private countOverdue(
    now: number,
    running: Iterable<RunningCall>,
  ): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const runningCall of running) {
      if (this.isOverdue(now, runningCall)) {
        const {route} = runningCall.call;
        counts.set(route, (counts.get(route) ?? 0) + 1);
        counts.set(ALL_CALLS, (counts.get(ALL_CALLS) ?? 0) + 1);
      }
    }
    return counts;
  }

  private probed(
    now: number,
    failed: boolean,
    milliseconds: number,
    running: RunningCall,
  ): StandingChange | undefined {
    const slow =
      milliseconds > this.detector.slowAfterMilliseconds(running.call.route);
    const isRepeatable = running.call.repetition === 'repeatable';
    const change = this.cycle.recordProbe(now, !failed && !slow, isRepeatable);
    if (change === 'returned') {
      this.resetEvidence(now);
    }
    return this.standingChange(change);
  }

  private assess(now: number): StandingChange | undefined {
    if (this.cycle.holdsPermit) {
      return undefined;
    }
    this.lastVerdict = this.detector.verdict(now);
    const isStillSuspect =
      this.cycle.state === 'condemned' && this.lastVerdict.suspect;
    const condemned = this.lastVerdict.condemned || isStillSuspect;
    return this.standingChange(this.cycle.applyVerdict(condemned));
  }

  private resetEvidence(now: number): void {
    this.detector.reset();
    this.lastVerdict = this.detector.verdict(now);
  }

  private standingChange(
    change: CycleTransition | undefined,
  ): StandingChange | undefined {
    return change === undefined
      ? undefined
      : {change, verdict: this.lastVerdict};
  }
}
