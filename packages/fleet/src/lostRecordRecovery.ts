// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Recovers records that the store lost in a restore. */

import type {Era, RandomSource} from '@lockpin/types';
import type {BoxDirectory} from './boxDirectory.js';
import {serializeBoxRecord} from './boxRecord.js';
import type {BoxRecord} from './boxRecord.js';
import type {FleetAction, FleetUpdate} from './fleetMessages.js';
import type {NodeIdentity} from './nodeIdentity.js';
import {logEvent} from './logEvent.js';
import type {LostRecords} from './lostRecords.js';
import type {OwnRecord} from './ownRecord.js';
import type {StoreReaderRole} from './storeReaderRole.js';

/**
 * All boxes may have to write again at the same time, and the store takes
 * hundreds of writes a second.
 */
const SPREAD_PER_BOX_MILLISECONDS = 10;

/** Dependencies of the recovery. */
export interface LostRecordRecoveryContext {
  readonly identity: NodeIdentity;
  readonly directory: BoxDirectory;
  readonly readerRole: StoreReaderRole;
  readonly ownRecord: OwnRecord;
  readonly lostRecords: LostRecords;
  /** Undefined before the first answer of the store that carries an era. */
  readonly era: () => Era | undefined;
}

/** Update about lost records, sent by a reader to its followers. */
type LostRecordsUpdate = FleetUpdate & {readonly kind: 'records-lost'};

/**
 * Notifies boxes that they must write again, and writes on behalf of departed
 * ones.
 */
export class LostRecordRecovery {
  constructor(private readonly context: LostRecordRecoveryContext) {}

  /** What a node that reads the store has to do now. */
  due(now: number, random: RandomSource): readonly FleetAction[] {
    const {readerRole, lostRecords} = this.context;
    const era = this.context.era();
    if (era === undefined || !readerRole.isServing(now)) {
      return [];
    }
    const boxes = lostRecords
      .toNotify(now)
      .filter((box) => this.isInOwnDataCentre(box));
    const rewrites = readerRole.isMaintainer ? lostRecords.toRewrite(now) : [];
    return [
      ...(boxes.length > 0 ? this.notify(now, random, era, boxes) : []),
      ...rewrites.map(writeOnBehalf),
    ];
  }

  /** A reader reported lost records, which may include this box's. */
  reported(
    now: number,
    random: RandomSource,
    {era, boxes}: LostRecordsUpdate,
  ): readonly FleetAction[] {
    const {identity, directory, ownRecord} = this.context;
    if (!boxes.includes(identity.box)) {
      return [];
    }
    const delay = random() * directory.size * SPREAD_PER_BOX_MILLISECONDS;
    return ownRecord.lost(now, era, delay)
      ? [logEvent('own-record-lost', identity.box, {era})]
      : [];
  }

  private notify(
    now: number,
    random: RandomSource,
    era: Era,
    boxes: readonly string[],
  ): readonly FleetAction[] {
    const update: LostRecordsUpdate = {kind: 'records-lost', era, boxes};
    return [
      logEvent('records-lost', '', {era, boxes: boxes.length}),
      {kind: 'notify-followers', news: update},
      ...this.reported(now, random, update),
    ];
  }

  /**
   * The readers of each data centre see all lost records, and notify only their
   * own.
   */
  private isInOwnDataCentre(box: string): boolean {
    const {directory, identity} = this.context;
    return directory.get(box)?.dataCentre === identity.dataCentre;
  }
}

function writeOnBehalf(record: BoxRecord): FleetAction {
  const value = serializeBoxRecord(record);
  return {kind: 'write-on-behalf', record: {key: record.box, value}};
}
