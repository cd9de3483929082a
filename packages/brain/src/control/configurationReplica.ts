// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The state in force on a node, with what is kept to replicate it to peers. */

import {
  ChangeHistory,
  ConfigurationState,
  decodeSnapshot,
  foldChange,
} from '@lockpin/configuration';
import type {FoldResult, SnapshotChunk} from '@lockpin/configuration';
import type {Era, LogRecord} from '@lockpin/types';
import type {PeerReply} from './controlMessages.js';
import {RecordBuffer} from './recordBuffer.js';
import {SnapshotAssembler} from './snapshotAssembler.js';

/** Limit of the records in one reply to a peer. */
const RECORDS_PER_REPLY = 500;

/** Folds records in order, from whichever source they come. */
export class ConfigurationReplica {
  state = new ConfigurationState();
  history = new ChangeHistory();
  snapshots = new SnapshotAssembler();
  /** Era of the log that the state was folded from; undefined before any. */
  era: Era | undefined;
  private buffer = new RecordBuffer();

  get version(): number {
    return this.state.version;
  }

  /** Folds the next records and skips known ones; stops at a gap. */
  fold(records: readonly LogRecord<unknown>[]): readonly FoldResult[] {
    const folds: FoldResult[] = [];
    for (const record of records) {
      if (record.offset > this.state.version) {
        break;
      }
      if (record.offset === this.state.version) {
        const fold = foldChange(this.state, record);
        this.buffer.add(record);
        this.history.add(fold);
        folds.push(fold);
      }
    }
    return folds;
  }

  /** Adopts the newest complete snapshot if it is newer than the state. */
  adoptSnapshot(): 'adopted' | 'older' | 'corrupt' {
    if (this.snapshots.version <= this.state.version) {
      return 'older';
    }
    const decoded = decodeSnapshot(this.snapshots.chunks);
    if (!decoded.ok) {
      this.snapshots.discard();
      return 'corrupt';
    }
    this.state = decoded.value;
    this.buffer = new RecordBuffer(this.state.version);
    this.history = new ChangeHistory(this.state.version);
    return 'adopted';
  }

  /** The latest records that led to this state. */
  bufferedRecords(): readonly LogRecord<unknown>[] {
    return this.buffer.all();
  }

  /** Whether a state of this version and digest equals this one. */
  matches(version: number, digest: string): boolean {
    return version === this.version && digest === this.state.digest;
  }

  /** Replaces this history; watches continue if the state is the same. */
  replaceWith(rebuilt: ConfigurationReplica): void {
    const isSame = this.matches(rebuilt.version, rebuilt.state.digest);
    if (!isSame) {
      this.state = rebuilt.state;
      this.history = new ChangeHistory(rebuilt.version);
    }
    this.era = rebuilt.era;
    this.snapshots = rebuilt.snapshots;
    this.buffer = rebuilt.buffer;
  }

  /** The records that a peer at a version lacks, or a snapshot instead. */
  recordsSince(version: number): {
    readonly records: readonly LogRecord<unknown>[];
    readonly snapshot: SnapshotChunk | undefined;
  } {
    const records = this.buffer.from(version, RECORDS_PER_REPLY);
    if (records !== undefined) {
      return {records, snapshot: undefined};
    }
    return {records: [], snapshot: this.snapshots.chunks[0]};
  }

  chunkReply(writer: string, index: number): PeerReply {
    return {kind: 'snapshot-chunk', chunk: this.snapshots.chunk(writer, index)};
  }
}
