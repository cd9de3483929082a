// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Requests suspected of crashing upstreams: what this node knows and reports.
 */

import {OwnLifts, OwnRuns, Quarantine, isSuspected} from '@lockpin/quarantine';
import type {
  QuarantineLift,
  QuarantinedRequest,
  RunReport,
  RunsProgram,
  SuspectStanding,
} from '@lockpin/quarantine';
import type {BoxRecord} from './boxRecord.js';
import type {FleetAction} from './fleetMessages.js';
import {logEvent} from './logEvent.js';

/** Collects what is learnt until the resulting actions are taken. */
export class SuspectRequests {
  private readonly quarantine: Quarantine;
  private readonly own = new OwnRuns();
  private readonly ownLifts = new OwnLifts();
  private unprocessed: readonly SuspectStanding[] = [];
  private hasChanges = false;

  /**
   * @param runsProgram Whether an upstream that takes work runs a program
   * version.
   */
  constructor(runsProgram: RunsProgram = () => true) {
    this.quarantine = new Quarantine(runsProgram);
  }

  /** Milliseconds for which no upstream may run a request; 0 if it may run. */
  remaining(now: number, digest: string): number {
    return this.quarantine.remaining(now, digest);
  }

  /** All requests that no upstream may run now. */
  quarantined(now: number): readonly QuarantinedRequest[] {
    return this.quarantine.quarantinedRequests(now);
  }

  /** Number of requests that were running when an upstream crashed. */
  get count(): number {
    return this.quarantine.size;
  }

  /** The run reports of this box. */
  get reports(): readonly RunReport[] {
    return this.own.reports;
  }

  /** Quarantines that operators lifted at this box. */
  get lifts(): readonly QuarantineLift[] {
    return this.ownLifts.all;
  }

  /** Applies the run reports and lifts of a box. */
  learn(now: number, {box, service, runs, lifts}: BoxRecord): void {
    if (runs !== undefined) {
      const changes = this.quarantine.addReports(now, box, runs, service);
      this.unprocessed = [...this.unprocessed, ...changes];
    }
    if (lifts !== undefined) {
      this.applyLifts(now, lifts);
    }
  }

  /** Applies the stored record of an earlier process of this box. */
  adopt(now: number, record: BoxRecord): void {
    this.learn(now, record);
    this.markChanged(this.own.adopt(now, record.runs ?? []));
    this.markChanged(this.ownLifts.add(now, record.lifts ?? []));
    this.ownLifts.all.forEach((lift) =>
      this.markChanged(this.own.lifted(lift)),
    );
  }

  /**
   * The upstream of this box, running this program version, crashed during
   * these requests.
   */
  crashed(now: number, digests: readonly string[], program?: string): void {
    this.markChanged(this.own.crashed(now, digests, program));
  }

  /** A run ended without crashing the upstream of this box. */
  survived(now: number, digest: string): void {
    const wantsSurvival = this.quarantine.needsSurvivalReports(digest);
    this.markChanged(this.own.survived(now, digest, wantsSurvival));
  }

  /** An operator lifts a quarantine at this box, for all boxes. */
  lift(now: number, digest: string): void {
    const lift = this.quarantine.lift(now, digest);
    if (lift !== undefined) {
      this.markChanged(this.ownLifts.add(now, [lift]));
      this.applyLifts(now, [lift]);
    }
  }

  /**
   * Actions for the log and for pending calls that follow from new information.
   */
  takeActions(now: number): readonly FleetAction[] {
    const {unprocessed} = this;
    if (unprocessed.length === 0) {
      return [];
    }
    this.unprocessed = [];
    for (const standing of unprocessed.filter(isSuspected)) {
      this.markChanged(this.own.reportPastSurvival(now, standing.digest));
    }
    return unprocessed.flatMap((standing) =>
      actionsFor(now, standing, this.remaining(now, standing.digest) > 0),
    );
  }

  /**
   * True once after there was a change that the other boxes have to receive.
   */
  takeHasChanges(): boolean {
    const {hasChanges} = this;
    this.hasChanges = false;
    return hasChanges;
  }

  /**
   * Reports that a lift invalidates are removed from this box's record
   * permanently.
   */
  private applyLifts(now: number, lifts: readonly QuarantineLift[]): void {
    const changes = this.quarantine.addLifts(now, lifts);
    this.unprocessed = [...this.unprocessed, ...changes];
    lifts.forEach((lift) => this.markChanged(this.own.lifted(lift)));
  }

  private markChanged(isChange: boolean): void {
    this.hasChanges ||= isChange;
  }
}

/** @param isInForce False if no usable upstream runs a version it crashed. */
function actionsFor(
  now: number,
  standing: SuspectStanding,
  isInForce: boolean,
): readonly FleetAction[] {
  const {digest, crashes, survived, until, liftedAt} = standing;
  const remaining = Math.max(0, Math.round(until - now));
  if (remaining > 0) {
    const detail = {crashes, survived, remaining, isInForce};
    const logged = logEvent('request-quarantined', digest, detail);
    return isInForce
      ? [logged, {kind: 'request-quarantined', digest}]
      : [logged];
  }
  if (liftedAt > 0 && crashes === 0) {
    return [logEvent('quarantine-lifted', digest, {liftedAt})];
  }
  return isSuspected(standing)
    ? [logEvent('request-suspected', digest, {crashes, survived})]
    : [];
}
