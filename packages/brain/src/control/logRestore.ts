// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Recovers from a log that was restored to an earlier point in time. The log is
 * authoritative for all nodes, but accepted changes must not be undone. So the
 * state in force is kept while the log is folded again beside it, and nodes
 * rewrite the records that the log has lost, in their order. The rebuilt state
 * takes over once the log lacks no record of the old one.
 */

import type {SnapshotChunk} from '@lockpin/configuration';
import type {ChangeOutcome, ChangeRecord, Era, LogRecord} from '@lockpin/types';
import {ConfigurationReplica} from './configurationReplica.js';
import type {
  AppendResult,
  ControlAction,
  LogReadResult,
  StreamName,
} from './controlMessages.js';
import {BUFFERED_RECORDS} from './recordBuffer.js';
import {isSnapshotChunk} from './snapshotAssembler.js';
import {StreamReader} from './streamReader.js';
import type {ReadSchedule} from './streamReader.js';
import type {RandomSource} from '@lockpin/types';

/** Delay per rank, so that lower-ranked nodes can write first. */
const RANK_DELAY_MILLISECONDS = 3000;

/** A rewritten record that is not read back is written again after this. */
const REWRITE_MILLISECONDS = 5000;

/** Without progress for this long, missing records count as unrecoverable. */
const PROGRESS_TIMEOUT_MILLISECONDS = 30_000;

/** Prefix of the append tokens of a restore, before the change identifier. */
const TOKEN_PREFIX = 'rewrite ';

/** Reads continuously, because API callers wait for the restore to end. */
const SCHEDULE: ReadSchedule = {isContinuous: true, interval: 0};

/** A log with more records is folded from a snapshot on. */
const MAX_FOLDED_RECORDS = BUFFERED_RECORDS;

/** A previously accepted change that the restored log does not accept. */
export interface LostChange {
  readonly changeId: string;
  /** Its outcome in the restored log; undefined if it is not there. */
  readonly outcome: ChangeOutcome | undefined;
}

/** Parameters of a restore. */
export interface LogRestoreOptions {
  readonly era: Era;
  /** Ignores snapshots of earlier eras: one may belong to a lost history. */
  readonly onlyThisEra: boolean;
  /** The state in force when the restore was detected. */
  readonly before: ConfigurationReplica;
  /** Number of nodes that write before this one. */
  readonly writerRank: () => number;
}

/** A restore, from detection of the new era until its state is in force. */
export class LogRestore {
  readonly rebuilt = new ConfigurationReplica();
  /** Offset after the last record read from the snapshots stream. */
  snapshotsPosition = 0;
  /** Number of records that this node has rewritten. */
  rewritten = 0;
  private readonly readers = {
    snapshots: new StreamReader('snapshots', () => this.snapshotsPosition),
    configuration: new StreamReader(
      'configuration',
      () => this.rebuilt.version,
    ),
  };
  private readonly writtenAt = new Map<string, number>();
  private isAppending = false;
  private tailReachedAt: number | undefined;
  /** Number of records in the log when it was first read in this era. */
  private initialLength: number | undefined;
  private needsSnapshot = false;
  private progressAt = 0;
  private progressVersion = -1;

  constructor(private readonly options: LogRestoreOptions) {
    this.rebuilt.era = options.era;
  }

  get era(): Era {
    return this.options.era;
  }

  /** Whether an append token belongs to a restore. */
  static owns(token: string): boolean {
    return token.startsWith(TOKEN_PREFIX);
  }

  /** Continues reading, and rewrites missing records in this node's turn. */
  tick(now: number): readonly ControlAction[] {
    const {snapshots, configuration} = this.readers;
    return [
      ...(this.needsSnapshot ? snapshots.tick(now, SCHEDULE) : []),
      ...(this.needsSnapshot && !snapshots.hasReachedTail
        ? []
        : configuration.tick(now, SCHEDULE)),
      ...this.rewrite(now),
    ];
  }

  /** Handles the result of a log read. */
  logRead(
    now: number,
    random: RandomSource,
    stream: Exclude<StreamName, 'holders'>,
    result: LogReadResult,
  ): void {
    if (result.kind !== 'unreachable' && stream === 'configuration') {
      this.initialLength ??= result.next;
      this.needsSnapshot ||=
        this.rebuilt.version === 0 && this.initialLength > MAX_FOLDED_RECORDS;
    }
    if (result.kind === 'records') {
      this.handleRecords(stream, result.records);
    } else if (result.kind === 'expired') {
      this.handleExpired(now, stream, result.first);
    }
    this.readers[stream].readEnded(now, random, result, SCHEDULE);
    if (this.readers.configuration.hasReachedTail) {
      this.tailReachedAt ??= now;
    }
    if (this.rebuilt.version > this.progressVersion) {
      this.progressVersion = this.rebuilt.version;
      this.progressAt = now;
    }
  }

  /** Handles the result of an append of this restore. */
  appendEnded(now: number, token: string, result: AppendResult): void {
    this.isAppending = false;
    if (result.kind === 'not-appended') {
      this.writtenAt.delete(token.slice(TOKEN_PREFIX.length));
    } else {
      this.rewritten += 1;
    }
    this.readers.configuration.readSoon(now);
  }

  /** Whether the log has all known records again, or the rest is lost. */
  isComplete(now: number): boolean {
    if (this.tailReachedAt === undefined || this.missing().length > 0) {
      return false;
    }
    const isRestored = this.rebuilt.version >= this.options.before.version;
    return isRestored || now - this.progressAt > PROGRESS_TIMEOUT_MILLISECONDS;
  }

  /** Previously accepted changes that the restored log does not accept. */
  lostChanges(): readonly LostChange[] {
    const {before} = this.options;
    return before.bufferedRecords().flatMap(({value}) => {
      const changeId = changeIdOf(value);
      const wasAccepted =
        changeId !== undefined &&
        before.state.outcomeOf(changeId)?.kind === 'accepted';
      const outcome = this.rebuilt.state.outcomeOf(changeId ?? '');
      return wasAccepted && outcome?.kind !== 'accepted'
        ? [{changeId, outcome}]
        : [];
    });
  }

  /** Includes refused changes, so that all other records keep their offsets. */
  private missing(): readonly LogRecord<unknown>[] {
    const {state} = this.rebuilt;
    return this.options.before.bufferedRecords().filter(({value}) => {
      const changeId = changeIdOf(value);
      return changeId !== undefined && state.outcomeOf(changeId) === undefined;
    });
  }

  private rewrite(now: number): readonly ControlAction[] {
    const {tailReachedAt} = this;
    const isTurn =
      tailReachedAt !== undefined &&
      now - tailReachedAt >=
        this.options.writerRank() * RANK_DELAY_MILLISECONDS;
    if (!isTurn || this.isAppending) {
      return [];
    }
    const next = this.missing().find(({value}) => {
      const writtenAt = this.writtenAt.get(changeIdOf(value) ?? '');
      return writtenAt === undefined || now - writtenAt > REWRITE_MILLISECONDS;
    });
    const changeId = changeIdOf(next?.value);
    if (next === undefined || changeId === undefined) {
      return [];
    }
    this.isAppending = true;
    this.writtenAt.set(changeId, now);
    const token = `${TOKEN_PREFIX}${changeId}`;
    return [
      {kind: 'append', token, stream: 'configuration', value: next.value},
    ];
  }

  private handleRecords(
    stream: Exclude<StreamName, 'holders'>,
    records: readonly LogRecord<unknown>[],
  ): void {
    if (stream === 'configuration') {
      const isAwaitingSnapshot =
        this.needsSnapshot && this.rebuilt.version === 0;
      this.rebuilt.fold(isAwaitingSnapshot ? [] : records);
      return;
    }
    for (const {offset, value} of records) {
      this.snapshotsPosition = Math.max(this.snapshotsPosition, offset + 1);
      if (this.isTrusted(value) && this.rebuilt.snapshots.add(value)) {
        this.rebuilt.adoptSnapshot();
      }
    }
  }

  /** A node unaware of the restore may have snapshotted a lost history. */
  private isTrusted(value: unknown): value is SnapshotChunk {
    const {era, onlyThisEra} = this.options;
    return (
      isSnapshotChunk(value) &&
      value.version <= (this.initialLength ?? 0) &&
      (!onlyThisEra || value.era === era)
    );
  }

  /** Handles an expired offset: reading continues from a snapshot. */
  private handleExpired(
    now: number,
    stream: Exclude<StreamName, 'holders'>,
    first: number,
  ): void {
    if (stream === 'snapshots') {
      this.snapshotsPosition = first;
    } else {
      this.needsSnapshot = true;
      this.readers.snapshots.readSoon(now);
    }
  }
}

function changeIdOf(value: unknown): string | undefined {
  const change = value as Partial<ChangeRecord> | null | undefined;
  return change?.kind === 'change' && typeof change.changeId === 'string'
    ? change.changeId
    : undefined;
}
