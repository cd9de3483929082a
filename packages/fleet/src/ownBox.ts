// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a node says of its own box, and when the store is told. */

import {checkAnnouncement} from './checkAnnouncement.js';
import type {DeclaredConfiguration} from './declaredConfiguration.js';
import type {FleetAction} from './fleetMessages.js';
import type {NodeIdentity} from './nodeIdentity.js';
import {note} from './fleetNote.js';
import type {OwnRecord} from './ownRecord.js';
import type {OwnUpstreamTracker, UpstreamAnnouncement} from './ownUpstream.js';
import type {StoreResult} from './recordStore.js';

/** What the statements of a box go by. */
export interface OwnBoxContext {
  readonly identity: NodeIdentity;
  readonly tracker: OwnUpstreamTracker;
  readonly record: OwnRecord;
  readonly configuration: () => DeclaredConfiguration | undefined;
  /** What the store has of this box is known, or it can have nothing. */
  readonly mayWrite: () => boolean;
}

/** Takes in announcements, and writes what follows from them. */
export class OwnBox {
  constructor(private readonly context: OwnBoxContext) {}

  /** The upstream here, or another writer, says something. */
  announced(
    now: number,
    announcement: UpstreamAnnouncement,
  ): readonly FleetAction[] {
    const {identity, tracker, record} = this.context;
    const configuration = this.context.configuration();
    const problem = checkAnnouncement(announcement, identity, configuration);
    if (problem !== undefined) {
      return [{kind: 'announcement-refused', problem}];
    }
    const result = tracker.announced(now, announcement);
    if (result.kind === 'refused') {
      return [{kind: 'announcement-refused', problem: result.problem}];
    }
    const {upstream} = tracker;
    if (result.kind === 'unchanged' || upstream === undefined) {
      return [];
    }
    record.upstreamChanged(now, upstream);
    return [{kind: 'upstream-changed', upstream}, ...this.write(now)];
  }

  /** What the store has of this box is to be known before it is written. */
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
    return [note('own-record-not-written', identity.box, {kind, detail})];
  }
}
