// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Requests that end upstreams: what this node knows of them, and what it tells. */

import {OwnLifts, OwnRuns, Quarantine, isInQuestion} from '@lockpin/quarantine';
import type {
  QuarantineLift,
  QuarantinedRequest,
  RunReport,
  RunsProgram,
  SuspectStanding,
} from '@lockpin/quarantine';
import type {BoxRecord} from './boxRecord.js';
import type {FleetAction} from './fleetMessages.js';
import {note} from './fleetNote.js';

/** Gathers what is learnt until it is asked what follows from it. */
export class SuspectRequests {
  private readonly quarantine: Quarantine;
  private readonly own = new OwnRuns();
  private readonly ownLifts = new OwnLifts();
  private learnt: readonly SuspectStanding[] = [];
  private hasMoreToTell = false;

  /** @param runsProgram Whether the fleet has a working upstream with a program. */
  constructor(runsProgram: RunsProgram = () => true) {
    this.quarantine = new Quarantine(runsProgram);
  }

  /** How much longer no upstream is to run a request, in milliseconds; 0 if one may. */
  remaining(now: number, digest: string): number {
    return this.quarantine.remaining(now, digest);
  }

  /** All requests that no upstream is to run now. */
  quarantined(now: number): readonly QuarantinedRequest[] {
    return this.quarantine.all(now);
  }

  /** Requests that were running when an upstream ended. */
  get count(): number {
    return this.quarantine.size;
  }

  /** What this box tells of them. */
  get reports(): readonly RunReport[] {
    return this.own.reports;
  }

  /** Quarantines that operators have lifted at this box. */
  get lifts(): readonly QuarantineLift[] {
    return this.ownLifts.all;
  }

  /** A box told of its runs, and of what operators have lifted there. */
  learn(now: number, {box, service, runs, lifts}: BoxRecord): void {
    if (runs !== undefined) {
      const news = this.quarantine.learn(now, box, runs, service);
      this.learnt = [...this.learnt, ...news];
    }
    if (lifts !== undefined) {
      this.learnLifts(now, lifts);
    }
  }

  /** The store has this of an earlier process of this box. */
  adopt(now: number, record: BoxRecord): void {
    this.learn(now, record);
    this.noteIf(this.own.adopt(now, record.runs ?? []));
    this.noteIf(this.ownLifts.add(now, record.lifts ?? []));
    this.ownLifts.all.forEach((lift) => this.noteIf(this.own.lifted(lift)));
  }

  /** The upstream here, which runs this program, ended while it ran these. */
  crashed(now: number, digests: readonly string[], program?: string): void {
    this.noteIf(this.own.crashed(now, digests, program));
  }

  /** A run ended, and the upstream here lives. */
  survived(now: number, digest: string): void {
    const isAsked = this.quarantine.wantsSurvivals(digest);
    this.noteIf(this.own.survived(now, digest, isAsked));
  }

  /** An operator lifts a quarantine here, for all boxes. */
  lift(now: number, digest: string): void {
    const lift = this.quarantine.lift(now, digest);
    if (lift !== undefined) {
      this.noteIf(this.ownLifts.add(now, [lift]));
      this.learnLifts(now, [lift]);
    }
  }

  /** What is newly known, for the log and for calls in hand. */
  takeFindings(now: number): readonly FleetAction[] {
    const {learnt} = this;
    if (learnt.length === 0) {
      return [];
    }
    this.learnt = [];
    for (const standing of learnt.filter(isInQuestion)) {
      this.noteIf(this.own.questioned(now, standing.digest));
    }
    return learnt.flatMap((standing) => findingOf(now, standing));
  }

  /** True once after there is more that the other boxes are to know. */
  takeHasMoreToTell(): boolean {
    const {hasMoreToTell} = this;
    this.hasMoreToTell = false;
    return hasMoreToTell;
  }

  /** Reports that a lift makes void leave the record of this box, for good. */
  private learnLifts(now: number, lifts: readonly QuarantineLift[]): void {
    const news = this.quarantine.learnLifts(now, lifts);
    this.learnt = [...this.learnt, ...news];
    lifts.forEach((lift) => this.noteIf(this.own.lifted(lift)));
  }

  private noteIf(isNews: boolean): void {
    this.hasMoreToTell ||= isNews;
  }
}

function findingOf(
  now: number,
  standing: SuspectStanding,
): readonly FleetAction[] {
  const {digest, crashes, survived, until, liftedAt} = standing;
  const remaining = Math.max(0, Math.round(until - now));
  if (remaining > 0) {
    return [
      note('request-quarantined', digest, {crashes, survived, remaining}),
      {kind: 'request-quarantined', digest},
    ];
  }
  if (liftedAt > 0 && crashes === 0) {
    return [note('quarantine-lifted', digest, {liftedAt})];
  }
  return isInQuestion(standing)
    ? [note('request-suspected', digest, {crashes, survived})]
    : [];
}
