// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * What a node does when the log has come back as it was some time ago. The log is the
 * truth for all nodes, and what was accepted must not go back: so the state in force stays
 * while the log is folded anew beside it, and nodes write again what the log has lost, in
 * its order. The new state takes over once nothing of the old one is missing in the log.
 */

import type {SnapshotChunk} from '@lockpin/configuration';
import type {ChangeOutcome, ChangeRecord, Era, LogRecord} from '@lockpin/types';
import {ConfigurationKeeper} from './configurationKeeper.js';
import type {
  AppendResult,
  ControlAction,
  LogReadResult,
  StreamName,
} from './controlMessages.js';
import {BUFFERED_RECORDS} from './recordBuffer.js';
import {isSnapshotChunk} from './snapshotShelf.js';
import {StreamReader} from './streamReader.js';
import type {ReadingPace} from './streamReader.js';
import type {RandomSource} from '@lockpin/types';

/** Time that each further node in line waits for those before it to write. */
const TURN_MILLISECONDS = 3000;

/** A record that was written and has not shown up is written again after this. */
const REWRITE_MILLISECONDS = 5000;

/** Nobody remembers what is still missing if nothing has come for this long. */
const GIVE_UP_MILLISECONDS = 30_000;

/** Appends of a restore have this before the identity of their change. */
const TOKEN_PREFIX = 'rewrite ';

/** Reads on at once: callers of the API wait for the end of this. */
const PACE: ReadingPace = {isContinuous: true, interval: 0};

/** A longer log is folded from a snapshot on. */
const MOST_FOLDED_RECORDS = BUFFERED_RECORDS;

/** What became of a change that was accepted before. */
export interface LostChange {
  readonly changeId: string;
  /** What the log now makes of it; undefined where it is not there. */
  readonly outcome: ChangeOutcome | undefined;
}

/** What a restore works with. */
export interface LogRestoreParts {
  readonly era: Era;
  /** Snapshots of earlier eras are passed over: one of them may be of a lost history. */
  readonly onlyThisEra: boolean;
  /** What was in force when the restore was noticed. */
  readonly before: ConfigurationKeeper;
  /** How many nodes are to write before this one. */
  readonly turn: () => number;
}

/** Lives from the first word of a new era until its state is in force here. */
export class LogRestore {
  readonly successor = new ConfigurationKeeper();
  /** One past the last record of the snapshots stream that was read. */
  snapshotsPosition = 0;
  /** Records that this node has written again. */
  rewritten = 0;
  private readonly readers = {
    snapshots: new StreamReader('snapshots', () => this.snapshotsPosition),
    configuration: new StreamReader(
      'configuration',
      () => this.successor.version,
    ),
  };
  private readonly writtenAt = new Map<string, number>();
  private isWriting = false;
  private tailReachedAt: number | undefined;
  /** Records that the log had when it was first read in this era. */
  private lengthAtFirst: number | undefined;
  private needsSnapshot = false;
  private progressAt = 0;
  private progressVersion = -1;

  constructor(private readonly parts: LogRestoreParts) {
    this.successor.era = parts.era;
  }

  get era(): Era {
    return this.parts.era;
  }

  /** Whether an append belongs to a restore. */
  static owns(token: string): boolean {
    return token.startsWith(TOKEN_PREFIX);
  }

  /** Reads on, and writes what is missing when it is this node's turn. */
  tick(now: number): readonly ControlAction[] {
    const {snapshots, configuration} = this.readers;
    return [
      ...(this.needsSnapshot ? snapshots.tick(now, PACE) : []),
      ...(this.needsSnapshot && !snapshots.hasReachedTail
        ? []
        : configuration.tick(now, PACE)),
      ...this.rewrite(now),
    ];
  }

  /** Takes in the answer of the log. */
  logRead(
    now: number,
    random: RandomSource,
    stream: Exclude<StreamName, 'holders'>,
    result: LogReadResult,
  ): void {
    if (result.kind !== 'unreachable' && stream === 'configuration') {
      this.lengthAtFirst ??= result.next;
      this.needsSnapshot ||=
        this.successor.version === 0 &&
        this.lengthAtFirst > MOST_FOLDED_RECORDS;
    }
    if (result.kind === 'records') {
      this.take(stream, result.records);
    } else if (result.kind === 'expired') {
      this.skip(now, stream, result.first);
    }
    this.readers[stream].ended(now, random, result, PACE);
    if (this.readers.configuration.hasReachedTail) {
      this.tailReachedAt ??= now;
    }
    if (this.successor.version > this.progressVersion) {
      this.progressVersion = this.successor.version;
      this.progressAt = now;
    }
  }

  /** An append of this restore has ended. */
  appendEnded(now: number, token: string, result: AppendResult): void {
    this.isWriting = false;
    if (result.kind === 'not-appended') {
      this.writtenAt.delete(token.slice(TOKEN_PREFIX.length));
    } else {
      this.rewritten += 1;
    }
    this.readers.configuration.hurry(now);
  }

  /** Whether all that was known before is in the log again, or nobody knows it. */
  isComplete(now: number): boolean {
    if (this.tailReachedAt === undefined || this.missing().length > 0) {
      return false;
    }
    const isWhole = this.successor.version >= this.parts.before.version;
    return isWhole || now - this.progressAt > GIVE_UP_MILLISECONDS;
  }

  /** Changes that were accepted and are not any more, by what the log says. */
  lostChanges(): readonly LostChange[] {
    const {before} = this.parts;
    return before.rememberedRecords().flatMap(({value}) => {
      const changeId = changeIdOf(value);
      const wasAccepted =
        changeId !== undefined &&
        before.state.outcomeOf(changeId)?.kind === 'accepted';
      const outcome = this.successor.state.outcomeOf(changeId ?? '');
      return wasAccepted && outcome?.kind !== 'accepted'
        ? [{changeId, outcome}]
        : [];
    });
  }

  /** Refused ones are written again too, so that all others keep their offsets. */
  private missing(): readonly LogRecord<unknown>[] {
    const {state} = this.successor;
    return this.parts.before.rememberedRecords().filter(({value}) => {
      const changeId = changeIdOf(value);
      return changeId !== undefined && state.outcomeOf(changeId) === undefined;
    });
  }

  private rewrite(now: number): readonly ControlAction[] {
    const {tailReachedAt} = this;
    const isTurn =
      tailReachedAt !== undefined &&
      now - tailReachedAt >= this.parts.turn() * TURN_MILLISECONDS;
    if (!isTurn || this.isWriting) {
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
    this.isWriting = true;
    this.writtenAt.set(changeId, now);
    const token = `${TOKEN_PREFIX}${changeId}`;
    return [
      {kind: 'append', token, stream: 'configuration', value: next.value},
    ];
  }

  private take(
    stream: Exclude<StreamName, 'holders'>,
    records: readonly LogRecord<unknown>[],
  ): void {
    if (stream === 'configuration') {
      const isLong = this.needsSnapshot && this.successor.version === 0;
      this.successor.fold(isLong ? [] : records);
      return;
    }
    for (const {offset, value} of records) {
      this.snapshotsPosition = Math.max(this.snapshotsPosition, offset + 1);
      if (this.isTrusted(value) && this.successor.shelf.add(value)) {
        this.successor.adoptSnapshot();
      }
    }
  }

  /** A node that did not know of the restore may have written what the log has lost. */
  private isTrusted(value: unknown): value is SnapshotChunk {
    const {era, onlyThisEra} = this.parts;
    return (
      isSnapshotChunk(value) &&
      value.version <= (this.lengthAtFirst ?? 0) &&
      (!onlyThisEra || value.era === era)
    );
  }

  /** The log no longer has what is next: a snapshot leads on. */
  private skip(
    now: number,
    stream: Exclude<StreamName, 'holders'>,
    first: number,
  ): void {
    if (stream === 'snapshots') {
      this.snapshotsPosition = first;
    } else {
      this.needsSnapshot = true;
      this.readers.snapshots.hurry(now);
    }
  }
}

function changeIdOf(value: unknown): string | undefined {
  const change = value as Partial<ChangeRecord> | null | undefined;
  return change?.kind === 'change' && typeof change.changeId === 'string'
    ? change.changeId
    : undefined;
}
