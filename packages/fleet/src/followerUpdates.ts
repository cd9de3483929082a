// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Schedules the updates that a node sends to its followers. */

import type {BoxRecord} from './boxRecord.js';
import type {FleetUpdate} from './fleetMessages.js';
import type {ReaderReport} from './readerStatus.js';

/** Interval between reports; two missing ones show that a reader is gone. */
const REPORT_INTERVAL_MILLISECONDS = 1000;

/**
 * In a large data centre reports are less frequent, so that a reader sends at
 * most 100 a second.
 */
const REPORT_INTERVAL_PER_FOLLOWER_MILLISECONDS = 10;

/** A report without the interval until the next one. */
export type ReportedState = Omit<ReaderReport, 'nextWithin'>;

/** Collects changes until the next tick. */
export class FollowerUpdates {
  private changed: BoxRecord[] = [];
  private nextReportAt = 0;
  private wasReading = false;

  /** @param address Where this node can be queried. */
  constructor(private readonly address: string) {}

  /** A box has a record that was new to this node. */
  boxChanged(record: BoxRecord): void {
    this.changed.push(record);
  }

  /** A new follower is to receive a report immediately. */
  followerAdded(): void {
    this.nextReportAt = 0;
  }

  /** The updates that are due for the followers. */
  due(
    now: number,
    followers: number,
    state: ReportedState,
  ): readonly FleetUpdate[] {
    const boxes = this.changed;
    this.changed = [];
    if (followers === 0) {
      return [];
    }
    const boxUpdates: readonly FleetUpdate[] =
      boxes.length === 0 ? [] : [{kind: 'boxes', boxes}];
    return [...boxUpdates, ...this.report(now, followers, state)];
  }

  private report(
    now: number,
    followers: number,
    state: ReportedState,
  ): readonly FleetUpdate[] {
    const hasReadingChanged = state.isReading !== this.wasReading;
    if (now < this.nextReportAt && !hasReadingChanged) {
      return [];
    }
    const nextWithin = Math.max(
      REPORT_INTERVAL_MILLISECONDS,
      followers * REPORT_INTERVAL_PER_FOLLOWER_MILLISECONDS,
    );
    this.nextReportAt = now + nextWithin;
    this.wasReading = state.isReading;
    const {address} = this;
    return [{kind: 'report', address, report: {...state, nextWithin}}];
  }
}
