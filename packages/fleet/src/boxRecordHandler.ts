// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Applies box records from the store and from peers, and forwards changes. */

import type {Era} from '@lockpin/types';
import {stableHash} from '@lockpin/utils';
import type {BoxDirectory} from './boxDirectory.js';
import {hasQuarantineData} from './boxRecord.js';
import type {BoxRecord} from './boxRecord.js';
import {checkBoxRecord, parseBoxRecord} from './checkBoxRecord.js';
import type {RecordContext, RecordProblem} from './checkBoxRecord.js';
import type {FleetAction, FleetUpdate} from './fleetMessages.js';
import type {NodeIdentity} from './nodeIdentity.js';
import {logEvent} from './logEvent.js';
import type {FollowerUpdates} from './followerUpdates.js';
import {isExpired} from './lostRecords.js';
import type {LostRecords} from './lostRecords.js';
import type {OwnRecord} from './ownRecord.js';
import type {RecordPage} from './recordStore.js';
import type {RunReportBroadcast} from './runReportBroadcast.js';
import type {SuspectRequests} from './suspectRequests.js';

/**
 * Run reports older than this are not broadcast but sent to followers like any
 * other, so that what a node learns at its start does not count as new. Box
 * clocks differ by seconds.
 */
const RECENT_MILLISECONDS = 60_000;

/** The components that box records are passed to. */
export interface BoxRecordHandlerContext {
  readonly identity: NodeIdentity;
  /** Data centres that boxes may name; any if empty. */
  readonly dataCentres: readonly string[];
  readonly directory: BoxDirectory;
  readonly ownRecord: OwnRecord;
  readonly followerUpdates: FollowerUpdates;
  readonly suspects: SuspectRequests;
  readonly runReportBroadcast: RunReportBroadcast;
  readonly lostRecords: LostRecords;
  /** Called with each valid record of this box, from wherever it comes. */
  readonly onOwnRecord: (
    now: number,
    record: BoxRecord,
  ) => readonly FleetAction[];
  /**
   * Whether this node maintains records of departed boxes on behalf of all
   * readers.
   */
  readonly isMaintainer: () => boolean;
}

/**
 * Validates and applies records; an invalid record leaves the known state
 * unchanged.
 */
export class BoxRecordHandler {
  private invalid = 0;

  constructor(private readonly context: BoxRecordHandlerContext) {}

  /** Invalid records since the process started. */
  get invalidCount(): number {
    return this.invalid;
  }

  /** Handles records read from the store. */
  fromStore(now: number, page: RecordPage): readonly FleetAction[] {
    const records: BoxRecord[] = [];
    const problems: FleetAction[] = [];
    for (const {key, value} of page.records) {
      if (value === undefined) {
        continue;
      }
      const read = parseBoxRecord(this.recordContext(now), key, value);
      if (read.ok) {
        records.push(read.value);
      } else {
        problems.push(...this.reject(key, 'store', read.failure));
      }
    }
    const notifications = records.flatMap((record) =>
      this.handleStoredRecord(now, record, page.end.era),
    );
    const deletions = page.isWhole ? this.handleSnapshot(now, records) : [];
    return [...problems, ...notifications, ...deletions];
  }

  /** After a restore the store may again contain records of expired boxes. */
  private handleSnapshot(
    now: number,
    records: readonly BoxRecord[],
  ): readonly FleetAction[] {
    const {lostRecords, isMaintainer} = this.context;
    lostRecords.snapshotRead(now, records);
    return isMaintainer()
      ? records
          .filter((record) => isExpired(now, record))
          .map(({box}) => ({kind: 'delete-record', key: box}))
      : [];
  }

  private handleStoredRecord(
    now: number,
    record: BoxRecord,
    era: Era,
  ): readonly FleetAction[] {
    const {identity, ownRecord, lostRecords, onOwnRecord} = this.context;
    const isOwn = record.box === identity.box;
    if (isOwn) {
      ownRecord.storeReported(now, record, era);
    }
    lostRecords.storeReported(record);
    this.apply(now, record);
    return isOwn ? onOwnRecord(now, record) : this.notifyOutdatedRecord(record);
  }

  /**
   * Handles records from a peer; they are validated like those of the store.
   */
  fromPeer(
    now: number,
    source: string,
    records: readonly BoxRecord[],
  ): readonly FleetAction[] {
    return this.eachValid(now, source, records, (record) =>
      this.handlePeerRecord(now, record),
    );
  }

  /**
   * Handles the records of this box in a reply of a peer. They may be those that
   * this box sent it, and are no evidence of what the store holds.
   */
  ownFromPeer(
    now: number,
    source: string,
    records: readonly BoxRecord[],
  ): readonly FleetAction[] {
    return this.eachValid(now, source, records, (record) =>
      this.context.onOwnRecord(now, record),
    );
  }

  private eachValid(
    now: number,
    source: string,
    records: readonly BoxRecord[],
    handle: (record: BoxRecord) => readonly FleetAction[],
  ): readonly FleetAction[] {
    return records.flatMap((record) => {
      const checked = checkBoxRecord(this.recordContext(now), record);
      if (checked.ok) {
        return handle(checked.value);
      }
      const key = String((record as BoxRecord | null)?.box);
      return this.reject(key, source, checked.failure);
    });
  }

  /** Applies a valid record of this or another box. */
  put(now: number, record: BoxRecord): void {
    const {directory, followerUpdates, suspects, runReportBroadcast} =
      this.context;
    if (directory.put(record)) {
      suspects.learn(now, record);
      if (
        hasQuarantineData(record) &&
        now - record.statedAt < RECENT_MILLISECONDS
      ) {
        runReportBroadcast.enqueue(record);
      } else {
        followerUpdates.boxChanged(record);
      }
    }
  }

  /** Expires boxes that have not renewed their records. */
  expire(now: number): readonly FleetAction[] {
    return this.context.directory
      .expire(now)
      .flatMap((box) => this.deleteRecord(box));
  }

  /**
   * The store keeps the newest record of each key forever, and boxes are
   * replaced every day. Of all nodes that expire a box, exactly one deletes its
   * record.
   */
  private deleteRecord(key: string): readonly FleetAction[] {
    const {identity, directory} = this.context;
    const rank = (box: string): number => stableHash(`${box} ${key}`);
    const own = rank(identity.box);
    const isFirst = directory.all().every(({box}) => rank(box) <= own);
    return isFirst ? [{kind: 'delete-record', key}] : [];
  }

  /**
   * For this box, a reader reports the stored record if it is not the newest.
   */
  private handlePeerRecord(
    now: number,
    record: BoxRecord,
  ): readonly FleetAction[] {
    const {identity, ownRecord, lostRecords, onOwnRecord} = this.context;
    const isOwn = record.box === identity.box;
    if (isOwn) {
      ownRecord.peerReported(now, record);
    } else {
      lostRecords.peerReported(now, record);
    }
    this.apply(now, record);
    return isOwn ? onOwnRecord(now, record) : [];
  }

  private apply(now: number, record: BoxRecord): void {
    const {identity, suspects} = this.context;
    if (record.box === identity.box) {
      suspects.adopt(now, record);
    } else if (!isExpired(now, record)) {
      this.put(now, record);
    }
  }

  /**
   * Notifies a box whose older write was applied late, so that it writes again.
   */
  private notifyOutdatedRecord(record: BoxRecord): readonly FleetAction[] {
    const {identity, directory} = this.context;
    const known = directory.get(record.box);
    const isOutdated = known !== undefined && known.statedAt > record.statedAt;
    const isInOwnDataCentre = known?.dataCentre === identity.dataCentre;
    if (!isOutdated || !isInOwnDataCentre || known.box === identity.box) {
      return [];
    }
    const update: FleetUpdate = {kind: 'boxes', boxes: [record]};
    return [
      {kind: 'notify-nodes', addresses: [known.peerAddress], news: update},
    ];
  }

  private recordContext(now: number): RecordContext {
    return {now, dataCentres: this.context.dataCentres};
  }

  /**
   * The known state stays as it is; an invalid record of this box is written
   * again.
   */
  private reject(
    key: string,
    source: string,
    {field, problem}: RecordProblem,
  ): readonly FleetAction[] {
    this.invalid += 1;
    if (key === this.context.identity.box) {
      this.context.ownRecord.overwritten();
    }
    return [logEvent('record-wrong', key, {source, field, problem})];
  }
}
