// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Requests that end upstreams: what this node knows of them, and what it tells. */

import {OwnRuns, Quarantine, isInQuestion} from '@lockpin/quarantine';
import type {RunReport, SuspectStanding} from '@lockpin/quarantine';
import type {BoxRecord} from './boxRecord.js';
import type {FleetAction} from './fleetMessages.js';
import {note} from './fleetNote.js';

/** Gathers what is learnt until it is asked what follows from it. */
export class SuspectRequests {
  private readonly quarantine = new Quarantine();
  private readonly own = new OwnRuns();
  private learnt: readonly SuspectStanding[] = [];
  private hasMoreToTell = false;

  /** How much longer no upstream is to run a request, in milliseconds; 0 if one may. */
  remaining(now: number, digest: string): number {
    return this.quarantine.remaining(now, digest);
  }

  /** Requests that were running when an upstream ended. */
  get count(): number {
    return this.quarantine.size;
  }

  /** What this box tells of them. */
  get reports(): readonly RunReport[] {
    return this.own.reports;
  }

  /** A box told of its runs. */
  learn(now: number, {box, runs}: BoxRecord): void {
    if (runs !== undefined) {
      const news = this.quarantine.learn(now, box, runs);
      this.learnt = [...this.learnt, ...news];
    }
  }

  /** The store has this of an earlier process of this box. */
  adopt(now: number, record: BoxRecord): void {
    this.learn(now, record);
    this.noteIf(this.own.adopt(now, record.runs ?? []));
  }

  /** The upstream here ended while it ran these. */
  crashed(now: number, digests: readonly string[]): void {
    this.noteIf(this.own.crashed(now, digests));
  }

  /** A run ended, and the upstream here lives. */
  survived(now: number, digest: string): void {
    const isAsked = this.quarantine.wantsSurvivals(digest);
    this.noteIf(this.own.survived(now, digest, isAsked));
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

  private noteIf(isNews: boolean): void {
    this.hasMoreToTell ||= isNews;
  }
}

function findingOf(
  now: number,
  {digest, crashes, survived, until}: SuspectStanding,
): readonly FleetAction[] {
  const remaining = Math.max(0, Math.round(until - now));
  if (remaining === 0) {
    return isInQuestion({digest, crashes, survived, until})
      ? [note('request-suspected', digest, {crashes, survived})]
      : [];
  }
  return [
    note('request-quarantined', digest, {crashes, survived, remaining}),
    {kind: 'request-quarantined', digest},
  ];
}
