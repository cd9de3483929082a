// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a node does about records that a restored store has lost. */

import type {Era, RandomSource} from '@lockpin/types';
import type {BoxDirectory} from './boxDirectory.js';
import {writeBoxRecord} from './boxRecord.js';
import type {BoxRecord} from './boxRecord.js';
import type {FleetAction, FleetNews} from './fleetMessages.js';
import type {NodeIdentity} from './nodeIdentity.js';
import {note} from './fleetNote.js';
import type {LostRecords} from './lostRecords.js';
import type {OwnRecord} from './ownRecord.js';
import type {StoreDuty} from './storeDuty.js';

/** All boxes may have to write again at once; the store takes hundreds a second. */
const SPREAD_PER_BOX_MILLISECONDS = 10;

/** What the duty goes by. */
export interface LostRecordDutyContext {
  readonly identity: NodeIdentity;
  readonly directory: BoxDirectory;
  readonly duty: StoreDuty;
  readonly ownRecord: OwnRecord;
  readonly lostRecords: LostRecords;
  /** Undefined before the store has said it. */
  readonly era: () => Era | undefined;
}

/** News of lost records, from a reader to its followers. */
type LostNews = FleetNews & {readonly kind: 'records-lost'};

/** Tells boxes that they have to write again; writes for those that are gone. */
export class LostRecordDuty {
  constructor(private readonly context: LostRecordDutyContext) {}

  /** What a node that reads the store has to do now. */
  due(now: number, random: RandomSource): readonly FleetAction[] {
    const {duty, lostRecords} = this.context;
    const era = this.context.era();
    if (era === undefined || !duty.isServing(now)) {
      return [];
    }
    const boxes = lostRecords.toTell(now).filter((box) => this.isNear(box));
    const forOthers = duty.actsForOthers ? lostRecords.toWrite(now) : [];
    return [
      ...(boxes.length > 0 ? this.tell(now, random, era, boxes) : []),
      ...forOthers.map(writeFor),
    ];
  }

  /** A reader has told whose records are lost: this box's may be among them. */
  told(
    now: number,
    random: RandomSource,
    {era, boxes}: LostNews,
  ): readonly FleetAction[] {
    const {identity, directory, ownRecord} = this.context;
    if (!boxes.includes(identity.box)) {
      return [];
    }
    const pause = random() * directory.size * SPREAD_PER_BOX_MILLISECONDS;
    return ownRecord.lost(now, era, pause)
      ? [note('own-record-lost', identity.box, {era})]
      : [];
  }

  private tell(
    now: number,
    random: RandomSource,
    era: Era,
    boxes: readonly string[],
  ): readonly FleetAction[] {
    const news: LostNews = {kind: 'records-lost', era, boxes};
    return [
      note('records-lost', '', {era, boxes: boxes.length}),
      {kind: 'tell-followers', news},
      ...this.told(now, random, news),
    ];
  }

  /** Readers of each data centre see all that is lost, and tell their own. */
  private isNear(box: string): boolean {
    const {directory, identity} = this.context;
    return directory.get(box)?.dataCentre === identity.dataCentre;
  }
}

function writeFor(record: BoxRecord): FleetAction {
  const value = writeBoxRecord(record);
  return {kind: 'write-for', record: {key: record.box, value}};
}
