// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a node learns of boxes, from the store and from peers, and whom it tells. */

import {stableHash} from '@lockpin/utils';
import type {BoxDirectory} from './boxDirectory.js';
import {RECORD_LIFE_MILLISECONDS} from './boxRecord.js';
import type {BoxRecord} from './boxRecord.js';
import {checkBoxRecord, readBoxRecord} from './checkBoxRecord.js';
import type {RecordContext, RecordProblem} from './checkBoxRecord.js';
import type {FleetAction, NodeIdentity} from './fleetMessages.js';
import {note} from './fleetNote.js';
import type {FollowerNews} from './followerNews.js';
import type {OwnRecord} from './ownRecord.js';
import type {StoredRecord} from './recordStore.js';
import type {RunNews} from './runNews.js';
import type {SuspectRequests} from './suspectRequests.js';

/** Where what is learnt goes. */
export interface BoxLearningContext {
  readonly identity: NodeIdentity;
  /** Those that boxes may name; any where none are given. */
  readonly dataCentres: readonly string[];
  readonly directory: BoxDirectory;
  readonly ownRecord: OwnRecord;
  readonly followerNews: FollowerNews;
  readonly suspects: SuspectRequests;
  readonly runNews: RunNews;
}

/** Takes in records; what is none changes nothing of what is known. */
export class BoxLearning {
  private wrong = 0;

  constructor(private readonly context: BoxLearningContext) {}

  /** Records that were none, since the process began. */
  get wrongCount(): number {
    return this.wrong;
  }

  /** The store brought a record. */
  fromStore(now: number, {key, value}: StoredRecord): readonly FleetAction[] {
    if (value === undefined) {
      return [];
    }
    const read = readBoxRecord(this.checkedAgainst(now), key, value);
    if (!read.ok) {
      return this.isWrong(key, 'store', read.failure);
    }
    if (key === this.context.identity.box) {
      this.context.ownRecord.found(now, read.value);
    }
    this.learn(now, read.value);
    this.tellOfOldStatement(read.value);
    return [];
  }

  /** A peer brought records; they are checked like those of the store. */
  fromPeer(
    now: number,
    source: string,
    records: readonly BoxRecord[],
  ): readonly FleetAction[] {
    return records.flatMap((record) => {
      const checked = checkBoxRecord(this.checkedAgainst(now), record);
      if (checked.ok) {
        if (checked.value.box === this.context.identity.box) {
          this.context.ownRecord.toldOf(now, checked.value);
        }
        this.learn(now, checked.value);
        return [];
      }
      const key = String((record as BoxRecord | null)?.box);
      return this.isWrong(key, source, checked.failure);
    });
  }

  /** Takes in a good record of this box or of another one. */
  put(now: number, record: BoxRecord): void {
    const {directory, followerNews, suspects, runNews} = this.context;
    if (directory.put(record)) {
      followerNews.boxChanged(record);
      suspects.learn(now, record);
      runNews.learnt(record);
    }
  }

  /** Boxes that have not renewed their records are forgotten. */
  forget(now: number): readonly FleetAction[] {
    return this.context.directory
      .expire(now)
      .flatMap((box) => this.dropRecord(box));
  }

  /**
   * The store keeps the newest record of each key for good, and boxes are replaced
   * every day. Of the nodes that forget a box, one takes its record away.
   */
  private dropRecord(key: string): readonly FleetAction[] {
    const {identity, directory} = this.context;
    const rank = (box: string): number => stableHash(`${box} ${key}`);
    const own = rank(identity.box);
    const isFirst = directory.all().every(({box}) => rank(box) <= own);
    return isFirst ? [{kind: 'drop-record', key}] : [];
  }

  private learn(now: number, record: BoxRecord): void {
    const {identity, suspects} = this.context;
    if (record.box === identity.box) {
      suspects.adopt(now, record);
    } else if (now - record.statedAt <= RECORD_LIFE_MILLISECONDS) {
      this.put(now, record);
    }
  }

  /** A box whose earlier write was done late hears of it, and writes again. */
  private tellOfOldStatement(record: BoxRecord): void {
    const {directory, followerNews} = this.context;
    const known = directory.get(record.box);
    if (known !== undefined && known.statedAt > record.statedAt) {
      followerNews.boxChanged(record);
    }
  }

  private checkedAgainst(now: number): RecordContext {
    return {now, dataCentres: this.context.dataCentres};
  }

  /** What was known before stays good; the own record is written again. */
  private isWrong(
    key: string,
    source: string,
    {field, problem}: RecordProblem,
  ): readonly FleetAction[] {
    this.wrong += 1;
    if (key === this.context.identity.box) {
      this.context.ownRecord.overwritten();
    }
    return [note('record-wrong', key, {source, field, problem})];
  }
}
