// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The state in force on a node, and all that is kept to pass it on. */

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
import {SnapshotShelf} from './snapshotShelf.js';

/** Records passed to a peer in one reply. */
const RECORDS_PER_REPLY = 500;

/** Folds records in their order, whoever brought them. */
export class ConfigurationKeeper {
  state = new ConfigurationState();
  history = new ChangeHistory();
  shelf = new SnapshotShelf();
  /** Of the log that the state was folded from; undefined before anything was. */
  era: Era | undefined;
  private buffer = new RecordBuffer();

  get version(): number {
    return this.state.version;
  }

  /** Folds what is next and skips what is known; stops at a gap. */
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

  /** Takes the snapshot on the shelf when it is newer; false when it is not. */
  adoptSnapshot(): 'adopted' | 'older' | 'corrupt' {
    if (this.shelf.version <= this.state.version) {
      return 'older';
    }
    const decoded = decodeSnapshot(this.shelf.chunks);
    if (!decoded.ok) {
      this.shelf.discard();
      return 'corrupt';
    }
    this.state = decoded.value;
    this.buffer = new RecordBuffer(this.state.version);
    this.history = new ChangeHistory(this.state.version);
    return 'adopted';
  }

  /** Records that led here, as far as they are kept. */
  rememberedRecords(): readonly LogRecord<unknown>[] {
    return this.buffer.all();
  }

  /** Whether another state says the same at the same version. */
  isSameAs(version: number, digest: string): boolean {
    return version === this.version && digest === this.state.digest;
  }

  /** Another history takes over; where it says the same, watches notice nothing. */
  replaceBy(successor: ConfigurationKeeper): void {
    const isSame = this.isSameAs(successor.version, successor.state.digest);
    if (!isSame) {
      this.state = successor.state;
      this.history = new ChangeHistory(successor.version);
    }
    this.era = successor.era;
    this.shelf = successor.shelf;
    this.buffer = successor.buffer;
  }

  /** What a peer that stands at a version lacks. */
  recordsFor(version: number): {
    readonly records: readonly LogRecord<unknown>[];
    readonly snapshot: SnapshotChunk | undefined;
  } {
    const records = this.buffer.from(version, RECORDS_PER_REPLY);
    if (records !== undefined) {
      return {records, snapshot: undefined};
    }
    return {records: [], snapshot: this.shelf.chunks[0]};
  }

  chunkReply(writer: string, index: number): PeerReply {
    return {kind: 'snapshot-chunk', chunk: this.shelf.chunk(writer, index)};
  }
}
