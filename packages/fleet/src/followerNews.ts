// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a node tells those that follow it, and when. */

import type {BoxRecord} from './boxRecord.js';
import type {FleetNews} from './fleetMessages.js';
import type {ReaderReport} from './readerStanding.js';

/** Time between two reports; two missing ones show that a reader is gone. */
const REPORT_MILLISECONDS = 1000;

/** In a large data centre reports are rarer, so that a reader sends 100 a second. */
const REPORT_PER_FOLLOWER_MILLISECONDS = 10;

/** A report but for the time of the next one. */
export type ReportedState = Omit<ReaderReport, 'nextWithin'>;

/** Gathers what is new until the next tick. */
export class FollowerNews {
  private changed: BoxRecord[] = [];
  private reportAt = 0;
  private wasReading = false;

  /** @param address Where this node can be asked for what it tells of. */
  constructor(private readonly address: string) {}

  /** A box made a statement that this node did not know. */
  boxChanged(record: BoxRecord): void {
    this.changed.push(record);
  }

  /** Someone follows from now on, and is to hear at once how this node stands. */
  followerCame(): void {
    this.reportAt = 0;
  }

  /** What the followers are to be told now. */
  due(
    now: number,
    followers: number,
    state: ReportedState,
  ): readonly FleetNews[] {
    const boxes = this.changed;
    this.changed = [];
    if (followers === 0) {
      return [];
    }
    const told: readonly FleetNews[] =
      boxes.length === 0 ? [] : [{kind: 'boxes', boxes}];
    return [...told, ...this.report(now, followers, state)];
  }

  private report(
    now: number,
    followers: number,
    state: ReportedState,
  ): readonly FleetNews[] {
    const hasTurned = state.isReading !== this.wasReading;
    if (now < this.reportAt && !hasTurned) {
      return [];
    }
    const nextWithin = Math.max(
      REPORT_MILLISECONDS,
      followers * REPORT_PER_FOLLOWER_MILLISECONDS,
    );
    this.reportAt = now + nextWithin;
    this.wasReading = state.isReading;
    const {address} = this;
    return [{kind: 'report', address, report: {...state, nextWithin}}];
  }
}
