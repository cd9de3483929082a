// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Reads the streams of the log and processes their records. */

import type {Era, LogRecord, RandomSource} from '@lockpin/types';
import type {ConfigurationReplica} from './configurationReplica.js';
import type {
  ControlAction,
  LogReadResult,
  StreamName,
} from './controlMessages.js';
import type {HolderRole} from './holderRole.js';
import type {RestoreCoordinator} from './restoreCoordinator.js';
import {isSnapshotChunk} from './snapshotAssembler.js';
import type {SnapshotWriter} from './snapshotWriter.js';
import type {StartPhase} from './startPhase.js';
import {StreamReader} from './streamReader.js';
import type {ReadSchedule} from './streamReader.js';
import {
  foldTimelineAction,
  parseHolder,
  streamsForPhase,
} from './streamRecords.js';
import {timelineAction} from './timelineAction.js';

/** Replaces a result from before a restore, so that it has no effect. */
const UNREACHABLE: LogReadResult = {kind: 'unreachable'};

/** Milliseconds between reads on a node that is not a log reader. */
const SLOW_READ_MILLISECONDS = 60_000;
const SLOW_SNAPSHOT_READ_MILLISECONDS = 300_000;

/** Dependencies of the log follower. */
export interface LogFollowerDependencies {
  readonly box: string;
  readonly replica: ConfigurationReplica;
  readonly holders: HolderRole;
  readonly writer: SnapshotWriter;
  /** Whether this node reads the log continuously. */
  readonly isReader: () => boolean;
  /** Whether a change submitted here is yet to be read back. */
  readonly isAwaitingChange: () => boolean;
  readonly isReady: () => boolean;
  readonly restores: RestoreCoordinator;
  /** Called after records were folded, to announce the new version. */
  readonly onFolded: (
    now: number,
    random: RandomSource,
  ) => readonly ControlAction[];
}

/** Reads the streams and folds records from the log or from a peer. */
export class LogFollower {
  readonly readers: Readonly<Record<StreamName, StreamReader>>;
  private snapshotsPosition = 0;
  private needsSnapshot = false;

  constructor(private readonly dependencies: LogFollowerDependencies) {
    const {replica, holders} = dependencies;
    this.readers = {
      configuration: new StreamReader('configuration', () => replica.version),
      holders: new StreamReader('holders', () => holders.position.offset),
      snapshots: new StreamReader('snapshots', () => this.snapshotsPosition),
    };
  }

  /** Only a node that has read the snapshots stream knows if one is due. */
  get mayWriteSnapshots(): boolean {
    const {isReady, isReader, restores} = this.dependencies;
    return (
      isReady() &&
      isReader() &&
      !restores.isPending &&
      this.readers.snapshots.hasReachedTail
    );
  }

  /** Starts the reads that are due. */
  tick(
    now: number,
    random: RandomSource,
    phase: StartPhase,
  ): readonly ControlAction[] {
    const {restores} = this.dependencies;
    const restoreActions = restores.tick(now);
    const streams: readonly StreamName[] = restores.isPending
      ? ['holders']
      : streamsForPhase(phase);
    return [
      ...streams.flatMap((stream) =>
        this.readers[stream].tick(now, this.schedule(stream)),
      ),
      ...restoreActions,
      ...this.finishRestore(now, random),
    ];
  }

  /** Handles the result of a log read. */
  logRead(
    now: number,
    random: RandomSource,
    stream: StreamName,
    result: LogReadResult,
  ): readonly ControlAction[] {
    const {restores} = this.dependencies;
    const isStale = 'era' in result && this.observeEra(now, result.era);
    const currentResult: LogReadResult = isStale ? UNREACHABLE : result;
    if (stream !== 'holders' && restores.isPending) {
      this.readers[stream].readEnded(
        now,
        random,
        UNREACHABLE,
        this.schedule(stream),
      );
      restores.current?.logRead(now, random, stream, currentResult);
      return this.finishRestore(now, random);
    }
    return this.handleRead(now, random, stream, currentResult);
  }

  /** Records the era of a log response; true if the response is outdated. */
  observeEra(now: number, era: Era): boolean {
    const {restores, holders} = this.dependencies;
    const isOutdated = restores.observeEra(now, era);
    if (!isOutdated && era > holders.position.era) {
      holders.logRestored(era);
      this.readers.holders.readSoon(now);
    }
    return isOutdated;
  }

  private handleRead(
    now: number,
    random: RandomSource,
    stream: StreamName,
    result: LogReadResult,
  ): readonly ControlAction[] {
    const reader = this.readers[stream];
    const hadReachedTail = reader.hasReachedTail;
    const actions = this.handleResult(now, random, stream, result);
    reader.readEnded(now, random, result, this.schedule(stream));
    const isFirstTail =
      stream === 'holders' && reader.hasReachedTail && !hadReachedTail;
    return isFirstTail ? [...actions, {kind: 'holders-read'}] : actions;
  }

  /** Switches to the rebuilt state once the restore is complete. */
  private finishRestore(
    now: number,
    random: RandomSource,
  ): readonly ControlAction[] {
    const {restores, writer, onFolded} = this.dependencies;
    const position = restores.current?.snapshotsPosition ?? 0;
    const actions = restores.finish(now);
    if (actions.length === 0) {
      return [];
    }
    this.snapshotsPosition = position;
    writer.logRestored();
    this.readers.snapshots.markReadToTail(now);
    this.readers.configuration.markReadToTail(now);
    return [...actions, ...onFolded(now, random)];
  }

  /** Folds configuration records. */
  fold(
    now: number,
    random: RandomSource,
    records: readonly LogRecord<unknown>[],
  ): readonly ControlAction[] {
    const folds = this.dependencies.replica.fold(records);
    return folds.length === 0
      ? []
      : [
          {kind: 'folded', folds},
          ...folds.map(foldTimelineAction),
          ...this.dependencies.onFolded(now, random),
        ];
  }

  /** Adopts a snapshot only if this node cannot continue from the log. */
  adoptSnapshot(): readonly ControlAction[] {
    const {replica, box, isReady} = this.dependencies;
    if (isReady() && !this.needsSnapshot) {
      return [];
    }
    const result = replica.adoptSnapshot();
    const {version} = replica;
    if (result === 'adopted') {
      this.needsSnapshot = false;
      const event = timelineAction('snapshot-adopted', box, {version});
      return [{kind: 'state-replaced'}, event];
    }
    return result === 'corrupt'
      ? [timelineAction('snapshot-corrupt', box, {version})]
      : [];
  }

  private schedule(stream: StreamName): ReadSchedule {
    const {isReader, isAwaitingChange} = this.dependencies;
    const isAwaited =
      (stream === 'configuration' && isAwaitingChange()) ||
      (stream === 'snapshots' && this.needsSnapshot);
    const interval =
      stream === 'snapshots'
        ? SLOW_SNAPSHOT_READ_MILLISECONDS
        : SLOW_READ_MILLISECONDS;
    return {isContinuous: isReader() || isAwaited, interval};
  }

  private handleResult(
    now: number,
    random: RandomSource,
    stream: StreamName,
    result: LogReadResult,
  ): readonly ControlAction[] {
    switch (result.kind) {
      case 'records':
        this.updateRetention(stream, result.first, result.next);
        this.checkLength(now, stream, result.next);
        return this.handleRecords(now, random, stream, result);
      case 'expired':
        return this.handleExpired(now, stream, result);
      case 'unreachable':
        return [];
    }
  }

  /** A state with more records than the log has is from a lost history. */
  private checkLength(now: number, stream: StreamName, next: number): void {
    const {readFrom} = this.readers.configuration;
    if (stream === 'configuration' && next < readFrom) {
      this.dependencies.restores.rebuildState(now);
    }
  }

  private updateRetention(
    stream: StreamName,
    first: number,
    next: number,
  ): void {
    const {writer} = this.dependencies;
    if (stream === 'configuration') {
      writer.observeRetention(first, next);
    } else if (stream === 'snapshots') {
      writer.observeSnapshotRetention(first);
    }
  }

  private handleRecords(
    now: number,
    random: RandomSource,
    stream: StreamName,
    {era, records}: LogReadResult & {readonly kind: 'records'},
  ): readonly ControlAction[] {
    switch (stream) {
      case 'configuration':
        return this.fold(now, random, records);
      case 'holders':
        return records.flatMap((record) => this.applyHolder(era, record));
      case 'snapshots':
        return records.flatMap((record) => this.addChunk(now, record));
    }
  }

  /** Handles an expired offset: the configuration continues from a snapshot. */
  private handleExpired(
    now: number,
    stream: StreamName,
    {era, first}: LogReadResult & {readonly kind: 'expired'},
  ): readonly ControlAction[] {
    const {replica, holders, box} = this.dependencies;
    switch (stream) {
      case 'configuration': {
        this.needsSnapshot = true;
        this.readers.snapshots.readSoon(now);
        const detail = {version: replica.version, first};
        return [timelineAction('log-overtook-reader', box, detail)];
      }
      case 'holders':
        holders.advancePosition({era, offset: first});
        return [];
      case 'snapshots':
        this.snapshotsPosition = first;
        return [];
    }
  }

  private applyHolder(
    era: Era,
    {offset, value}: LogRecord<unknown>,
  ): readonly ControlAction[] {
    const {holders} = this.dependencies;
    const entry = parseHolder({era, offset}, value);
    holders.advancePosition({era, offset: offset + 1});
    return entry === undefined ? [] : holders.apply(entry);
  }

  private addChunk(
    now: number,
    {offset, value}: LogRecord<unknown>,
  ): readonly ControlAction[] {
    const {replica, writer} = this.dependencies;
    this.snapshotsPosition = Math.max(this.snapshotsPosition, offset + 1);
    if (!isSnapshotChunk(value) || !replica.snapshots.add(value)) {
      return [];
    }
    writer.observeSnapshot(now, value.version, offset);
    return this.adoptSnapshot();
  }
}
