// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Detects a restored log, and runs and completes the restore on this node. */

import {isLogReader, isUsable} from '@lockpin/membership';
import type {DatagramHeader, Membership} from '@lockpin/membership';
import type {Era, RandomSource} from '@lockpin/types';
import {stableHash} from '@lockpin/utils';
import type {ConfigurationReplica} from './configurationReplica.js';
import type {ControlAction} from './controlMessages.js';
import {LogRestore} from './logRestore.js';
import {timelineAction} from './timelineAction.js';

/**
 * Nodes that do not read the log learn of a restore from log readers, mostly
 * with the same state. Nodes with a different state spread their own reads of
 * the log over this time.
 */
const SPREAD_MILLISECONDS = 10_000;

/** Minimum time between rebuilds, if the states still differ after one. */
const REBUILD_INTERVAL_MILLISECONDS = 30_000;

/** Added to the rank of nodes that do not read the log: readers write first. */
const NON_READER_RANK = 10;

/** Dependencies of the restore coordinator. */
export interface RestoreCoordinatorDependencies {
  readonly membership: Membership;
  readonly replica: ConfigurationReplica;
  readonly isReader: () => boolean;
}

/** Tracks the newest era of the log and moves this node's state to it. */
export class RestoreCoordinator {
  private restore: LogRestore | undefined;
  private newestEra: Era | undefined;
  private startAt = 0;
  private nextRebuildAt = 0;
  private completedCount = 0;

  constructor(private readonly dependencies: RestoreCoordinatorDependencies) {}

  /** The restore in progress, if any. */
  get current(): LogRestore | undefined {
    return this.restore;
  }

  /** Whether the log has a newer era, or a restore is in progress. */
  get isPending(): boolean {
    const {era} = this.dependencies.replica;
    const isBehind =
      era !== undefined && this.newestEra !== undefined && this.newestEra > era;
    return isBehind || this.restore !== undefined;
  }

  /** Number of log restores that this process has completed. */
  get restoreCount(): number {
    return this.completedCount;
  }

  /** Records the era of a log response; true if it is of an earlier history. */
  observeEra(now: number, era: Era): boolean {
    const {replica} = this.dependencies;
    replica.era ??= era;
    this.recordEra(era, now);
    return era < (this.newestEra ?? era);
  }

  /** Handles the version and era in force on a peer. */
  observePeer(
    now: number,
    random: RandomSource,
    {era, version, digest}: DatagramHeader,
  ): readonly ControlAction[] {
    const {replica, isReader} = this.dependencies;
    if (replica.era === undefined || era <= replica.era) {
      return [];
    }
    if (era === (this.newestEra ?? era) && replica.matches(version, digest)) {
      this.newestEra = era;
      return this.adoptEra(era);
    }
    this.recordEra(
      era,
      isReader() ? now : now + random() * SPREAD_MILLISECONDS,
    );
    return [];
  }

  /**
   * Rebuilds the state after a node with the same log showed a different one:
   * one of the two used a snapshot of a lost history. Only snapshots that were
   * written in this era are trusted.
   */
  rebuildState(now: number): void {
    const {era} = this.dependencies.replica;
    if (era !== undefined && !this.isPending && now >= this.nextRebuildAt) {
      this.nextRebuildAt = now + REBUILD_INTERVAL_MILLISECONDS;
      this.start(era, true);
    }
  }

  /** Starts a restore that is due and advances the one in progress. */
  tick(now: number): readonly ControlAction[] {
    const {newestEra} = this;
    const {era = newestEra} = this.dependencies.replica;
    const isBehind =
      newestEra !== undefined &&
      newestEra !== era &&
      this.restore?.era !== newestEra;
    if (isBehind && now >= this.startAt) {
      this.start(newestEra, false);
    }
    return this.restore?.tick(now) ?? [];
  }

  private start(era: Era, onlyThisEra: boolean): void {
    this.restore = new LogRestore({
      era,
      onlyThisEra,
      before: this.dependencies.replica,
      writerRank: () => this.writerRank(era),
    });
  }

  /** Puts the rebuilt state in force once complete; no actions before. */
  finish(now: number): readonly ControlAction[] {
    const {restore} = this;
    if (restore?.isComplete(now) !== true) {
      return [];
    }
    const {replica, membership} = this.dependencies;
    const {rebuilt, era, rewritten} = restore;
    const lost = restore.lostChanges();
    const isSame = replica.matches(rebuilt.version, rebuilt.state.digest);
    replica.replaceWith(rebuilt);
    this.restore = undefined;
    this.completedCount += 1;
    const {version} = replica;
    const detail = {era, version, rewritten, lost: lost.length};
    return [
      ...(isSame ? [] : [{kind: 'state-replaced'} as const]),
      timelineAction('log-restored', membership.own.box, detail),
      ...lost.map(({changeId, outcome}) =>
        timelineAction('change-lost', changeId, {
          era,
          outcome: outcome?.kind ?? 'not-in-the-log',
        }),
      ),
    ];
  }

  private adoptEra(era: Era): readonly ControlAction[] {
    const {replica, membership} = this.dependencies;
    replica.era = era;
    this.restore = undefined;
    this.completedCount += 1;
    const detail = {era, version: replica.version, rewritten: 0, lost: 0};
    return [timelineAction('log-restored', membership.own.box, detail)];
  }

  private recordEra(era: Era, startAt: number): void {
    const {replica} = this.dependencies;
    if (era > Math.max(this.newestEra ?? 0, replica.era ?? era)) {
      this.newestEra = era;
      this.startAt = startAt;
    } else if (era === this.newestEra) {
      this.startAt = Math.min(this.startAt, startAt);
    }
  }

  /** Number of nodes that rewrite lost records before this one. */
  private writerRank(era: Era): number {
    const {membership, isReader} = this.dependencies;
    const members = membership.all();
    const rank = (box: string): number => stableHash(`${era} ${box}`);
    const ownRank = rank(membership.own.box);
    const readersBefore = members.filter(
      (member) =>
        isUsable(member) &&
        rank(member.box) < ownRank &&
        isLogReader(member, members),
    ).length;
    return isReader() ? readersBefore : NON_READER_RANK + readersBefore;
  }
}
