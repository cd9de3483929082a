// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Handles announcements of this box's upstream and writes the box's own record.
 */

import type {UpstreamIncarnation} from '@lockpin/types';
import type {BoxRecord} from './boxRecord.js';
import {checkAnnouncement} from './checkAnnouncement.js';
import type {DeclaredConfiguration} from './declaredConfiguration.js';
import type {FleetAction} from './fleetMessages.js';
import type {NodeIdentity} from './nodeIdentity.js';
import {logEvent} from './logEvent.js';
import type {OwnRecord} from './ownRecord.js';
import type {
  AnnouncementResult,
  OwnUpstreamTracker,
  UpstreamAnnouncement,
} from './ownUpstream.js';
import type {StoreResult} from './recordStore.js';

/** Dependencies of the handler. */
export interface AnnouncementHandlerContext {
  readonly identity: NodeIdentity;
  readonly tracker: OwnUpstreamTracker;
  readonly record: OwnRecord;
  readonly configuration: () => DeclaredConfiguration | undefined;
  /** Addresses of the readers that pass records on to all boxes. */
  readonly readerAddresses: (now: number) => readonly string[];
  /** True once the stored record of this box is known, or if none can exist. */
  readonly mayWrite: () => boolean;
}

/** Validates announcements, and writes the resulting changes to the store. */
export class AnnouncementHandler {
  constructor(private readonly context: AnnouncementHandlerContext) {}

  /**
   * An announcement arrived, from this box's upstream or from another writer.
   */
  announced(
    now: number,
    announcement: UpstreamAnnouncement,
  ): readonly FleetAction[] {
    const {identity, tracker} = this.context;
    const configuration = this.context.configuration();
    const problem = checkAnnouncement(announcement, identity, configuration);
    if (problem !== undefined) {
      return [{kind: 'announcement-refused', problem}];
    }
    const result = tracker.announced(now, announcement);
    if (result.kind === 'refused') {
      return [{kind: 'announcement-refused', problem: result.problem}];
    }
    return this.applied(now, result);
  }

  /** A process of the upstream stated in an answer that it is leaving. */
  upstreamLeaving(
    now: number,
    incarnation: UpstreamIncarnation | undefined,
  ): readonly FleetAction[] {
    return incarnation === undefined
      ? []
      : this.applied(now, this.context.tracker.leaving(incarnation));
  }

  /** Other nodes can reach this box from now on, or cannot. */
  reachabilityChanged(
    now: number,
    isReachable: boolean,
  ): readonly FleetAction[] {
    this.context.record.reachabilityChanged(now, isReachable);
    return [...this.notifyReaders(now), ...this.write(now)];
  }

  /** Learns from the record of this box which processes of the upstream left. */
  ownRecordRead(
    now: number,
    {left = []}: Pick<BoxRecord, 'left'>,
  ): readonly FleetAction[] {
    const {tracker, record} = this.context;
    const before = tracker.left;
    const result = tracker.leftBefore(left);
    if (result.kind === 'unchanged' && tracker.left.join() !== before.join()) {
      record.leftChanged(now, tracker.left);
    }
    return this.applied(now, result);
  }

  private applied(
    now: number,
    result: AnnouncementResult,
  ): readonly FleetAction[] {
    const {tracker, record} = this.context;
    const {upstream} = tracker;
    if (result.kind !== 'changed' || upstream === undefined) {
      return [];
    }
    record.upstreamChanged(now, upstream, tracker.left);
    return [
      {kind: 'upstream-changed', upstream},
      ...this.notifyReaders(now),
      ...this.write(now),
    ];
  }

  /**
   * Sends the own record to the readers, which batch those that they get from
   * the store.
   */
  private notifyReaders(now: number): readonly FleetAction[] {
    const {record, readerAddresses} = this.context;
    const {unsaved} = record;
    const addresses = readerAddresses(now);
    return unsaved === undefined || addresses.length === 0
      ? []
      : [
          {
            kind: 'notify-nodes',
            addresses,
            news: {kind: 'boxes', boxes: [unsaved]},
          },
        ];
  }

  /**
   * Writes the own record if due, but only after reading what the store holds.
   */
  write(now: number): readonly FleetAction[] {
    const next = this.context.mayWrite()
      ? this.context.record.nextWrite(now)
      : undefined;
    return next === undefined ? [] : [{kind: 'write', record: next}];
  }

  /** A write of the own record has ended. */
  writeEnded(
    now: number,
    result: StoreResult<undefined>,
  ): readonly FleetAction[] {
    const {identity, record} = this.context;
    record.writeEnded(now, result);
    if (result.ok) {
      return [];
    }
    const {kind, detail} = result.failure;
    return [logEvent('own-record-not-written', identity.box, {kind, detail})];
  }
}
