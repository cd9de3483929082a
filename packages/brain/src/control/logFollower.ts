// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Follows the streams of the log: what to read when, and what records mean. */

import type {Era, LogRecord, RandomSource} from '@lockpin/types';
import type {ConfigurationKeeper} from './configurationKeeper.js';
import type {
  ControlAction,
  LogReadResult,
  StreamName,
} from './controlMessages.js';
import type {HolderRole} from './holderRole.js';
import type {RestoreKeeper} from './restoreKeeper.js';
import {isSnapshotChunk} from './snapshotShelf.js';
import type {SnapshotWriter} from './snapshotWriter.js';
import type {StartPhase} from './startPhase.js';
import {StreamReader} from './streamReader.js';
import type {ReadingPace} from './streamReader.js';
import {foldEvent, readHolder, streamsOf} from './streamRecords.js';
import {timelineAction} from './timelineAction.js';

/** In place of an answer from before a restore: nothing follows from it. */
const UNREACHABLE: LogReadResult = {kind: 'unreachable'};

/** Milliseconds between the reads of a node that is no log reader. */
const SLOW_READ_MILLISECONDS = 60_000;
const SLOW_SNAPSHOT_READ_MILLISECONDS = 300_000;

/** What the follower works with. */
export interface LogFollowerParts {
  readonly box: string;
  readonly keeper: ConfigurationKeeper;
  readonly holders: HolderRole;
  readonly writer: SnapshotWriter;
  /** Whether this node reads the log all the time. */
  readonly isReader: () => boolean;
  /** Whether a change offered here waits to be read back. */
  readonly isAwaiting: () => boolean;
  readonly isReady: () => boolean;
  readonly restores: RestoreKeeper;
  /** Records were folded: tells of the new version. */
  readonly onFolded: (
    now: number,
    random: RandomSource,
  ) => readonly ControlAction[];
}

/** Reads streams and folds what comes, from the log or from a peer. */
export class LogFollower {
  readonly readers: Readonly<Record<StreamName, StreamReader>>;
  private snapshotsPosition = 0;
  private needsSnapshot = false;

  constructor(private readonly parts: LogFollowerParts) {
    const {keeper, holders} = parts;
    this.readers = {
      configuration: new StreamReader('configuration', () => keeper.version),
      holders: new StreamReader('holders', () => holders.position.offset),
      snapshots: new StreamReader('snapshots', () => this.snapshotsPosition),
    };
  }

  /** Only a node that has read the snapshots stream knows what is due. */
  get mayWriteSnapshots(): boolean {
    const {isReady, isReader, restores} = this.parts;
    return (
      isReady() &&
      isReader() &&
      !restores.isPending &&
      this.readers.snapshots.hasReachedTail
    );
  }

  /** Reads what is due. */
  tick(
    now: number,
    random: RandomSource,
    phase: StartPhase,
  ): readonly ControlAction[] {
    const {restores} = this.parts;
    const restoring = restores.tick(now);
    const streams: readonly StreamName[] = restores.isPending
      ? ['holders']
      : streamsOf(phase);
    return [
      ...streams.flatMap((stream) =>
        this.readers[stream].tick(now, this.pace(stream)),
      ),
      ...restoring,
      ...this.finishRestore(now, random),
    ];
  }

  /** Takes in the answer of the log. */
  logRead(
    now: number,
    random: RandomSource,
    stream: StreamName,
    result: LogReadResult,
  ): readonly ControlAction[] {
    const {restores} = this.parts;
    const isOutdated = 'era' in result && this.isOutdated(now, result.era);
    const taken: LogReadResult = isOutdated ? UNREACHABLE : result;
    if (stream !== 'holders' && restores.isPending) {
      this.readers[stream].ended(now, random, UNREACHABLE, this.pace(stream));
      restores.current?.logRead(now, random, stream, taken);
      return this.finishRestore(now, random);
    }
    return this.takeRead(now, random, stream, taken);
  }

  /** An append was confirmed in an era. */
  isOutdated(now: number, era: Era): boolean {
    const {restores, holders} = this.parts;
    const isOutdated = restores.isOutdated(now, era);
    if (!isOutdated && era > holders.position.era) {
      holders.logRestored(era);
      this.readers.holders.hurry(now);
    }
    return isOutdated;
  }

  private takeRead(
    now: number,
    random: RandomSource,
    stream: StreamName,
    result: LogReadResult,
  ): readonly ControlAction[] {
    const reader = this.readers[stream];
    const hadReachedTail = reader.hasReachedTail;
    const actions = this.takeResult(now, random, stream, result);
    reader.ended(now, random, result, this.pace(stream));
    const isRead =
      stream === 'holders' && reader.hasReachedTail && !hadReachedTail;
    return isRead ? [...actions, {kind: 'holders-read'}] : actions;
  }

  /** What was folded anew takes over once nothing is missing in it. */
  private finishRestore(
    now: number,
    random: RandomSource,
  ): readonly ControlAction[] {
    const {restores, writer, onFolded} = this.parts;
    const position = restores.current?.snapshotsPosition ?? 0;
    const actions = restores.finish(now);
    if (actions.length === 0) {
      return [];
    }
    this.snapshotsPosition = position;
    writer.logRestored();
    this.readers.snapshots.readToTailBy(now);
    this.readers.configuration.readToTailBy(now);
    return [...actions, ...onFolded(now, random)];
  }

  /** Folds configuration records. */
  fold(
    now: number,
    random: RandomSource,
    records: readonly LogRecord<unknown>[],
  ): readonly ControlAction[] {
    const folds = this.parts.keeper.fold(records);
    return folds.length === 0
      ? []
      : [
          {kind: 'folded', folds},
          ...folds.map(foldEvent),
          ...this.parts.onFolded(now, random),
        ];
  }

  /** A snapshot is adopted only by a node that has no way to fold on. */
  adoptSnapshot(): readonly ControlAction[] {
    const {keeper, box, isReady} = this.parts;
    if (isReady() && !this.needsSnapshot) {
      return [];
    }
    const result = keeper.adoptSnapshot();
    const {version} = keeper;
    if (result === 'adopted') {
      this.needsSnapshot = false;
      const event = timelineAction('snapshot-adopted', box, {version});
      return [{kind: 'state-replaced'}, event];
    }
    return result === 'corrupt'
      ? [timelineAction('snapshot-corrupt', box, {version})]
      : [];
  }

  private pace(stream: StreamName): ReadingPace {
    const {isReader, isAwaiting} = this.parts;
    const isAwaited =
      (stream === 'configuration' && isAwaiting()) ||
      (stream === 'snapshots' && this.needsSnapshot);
    const interval =
      stream === 'snapshots'
        ? SLOW_SNAPSHOT_READ_MILLISECONDS
        : SLOW_READ_MILLISECONDS;
    return {isContinuous: isReader() || isAwaited, interval};
  }

  private takeResult(
    now: number,
    random: RandomSource,
    stream: StreamName,
    result: LogReadResult,
  ): readonly ControlAction[] {
    switch (result.kind) {
      case 'records':
        this.noteRetention(stream, result.first, result.next);
        this.noteLength(now, stream, result.next);
        return this.takeRecords(now, random, stream, result);
      case 'expired':
        return this.overtaken(now, stream, result);
      case 'unreachable':
        return [];
    }
  }

  /** A state of more records than the log has came from a history that is gone. */
  private noteLength(now: number, stream: StreamName, next: number): void {
    const {readFrom} = this.readers.configuration;
    if (stream === 'configuration' && next < readFrom) {
      this.parts.restores.foldAnew(now);
    }
  }

  private noteRetention(stream: StreamName, first: number, next: number): void {
    const {writer} = this.parts;
    if (stream === 'configuration') {
      writer.retentionSeen(first, next);
    } else if (stream === 'snapshots') {
      writer.snapshotsRetained(first);
    }
  }

  private takeRecords(
    now: number,
    random: RandomSource,
    stream: StreamName,
    {era, records}: LogReadResult & {readonly kind: 'records'},
  ): readonly ControlAction[] {
    switch (stream) {
      case 'configuration':
        return this.fold(now, random, records);
      case 'holders':
        return records.flatMap((record) => this.takeHolder(era, record));
      case 'snapshots':
        return records.flatMap((record) => this.takeChunk(now, record));
    }
  }

  /** The log no longer has what is next here: start from a snapshot. */
  private overtaken(
    now: number,
    stream: StreamName,
    {era, first}: LogReadResult & {readonly kind: 'expired'},
  ): readonly ControlAction[] {
    const {keeper, holders, box} = this.parts;
    switch (stream) {
      case 'configuration': {
        this.needsSnapshot = true;
        this.readers.snapshots.hurry(now);
        const detail = {version: keeper.version, first};
        return [timelineAction('log-overtook-reader', box, detail)];
      }
      case 'holders':
        holders.knownUpTo({era, offset: first});
        return [];
      case 'snapshots':
        this.snapshotsPosition = first;
        return [];
    }
  }

  private takeHolder(
    era: Era,
    {offset, value}: LogRecord<unknown>,
  ): readonly ControlAction[] {
    const {holders} = this.parts;
    const entry = readHolder({era, offset}, value);
    holders.knownUpTo({era, offset: offset + 1});
    return entry === undefined ? [] : holders.apply(entry);
  }

  private takeChunk(
    now: number,
    {offset, value}: LogRecord<unknown>,
  ): readonly ControlAction[] {
    const {keeper, writer} = this.parts;
    this.snapshotsPosition = Math.max(this.snapshotsPosition, offset + 1);
    if (!isSnapshotChunk(value) || !keeper.shelf.add(value)) {
      return [];
    }
    writer.seen(now, value.version, offset);
    return this.adoptSnapshot();
  }
}
