// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Decides when this node writes a snapshot, so that only one node does. */

import {encodeSnapshot} from '@lockpin/configuration';
import type {ConfigurationState} from '@lockpin/configuration';
import type {Era} from '@lockpin/types';
import {isLogReader, isUsable} from '@lockpin/membership';
import type {Membership} from '@lockpin/membership';
import {stableHash} from '@lockpin/utils';
import type {ControlAction} from './controlMessages.js';

/** When a snapshot is due. */
export interface SnapshotSettings {
  /** Number of records after which a new snapshot is due. */
  readonly everyRecords: number;
  /** Milliseconds after which one is due even without changes. */
  readonly everyMilliseconds: number;
}

/** Delay per rank, so that lower-ranked nodes can write first. */
const RANK_DELAY_MILLISECONDS = 5000;

/**
 * Number of snapshots that fit into what the log retains, so that one of them
 * is always complete.
 */
const SNAPSHOTS_IN_RETENTION = 3;

/** Minimum time between snapshots, so that all nodes can read the last one. */
const MIN_INTERVAL_MILLISECONDS = 60_000;

/**
 * Any log reader may write. Each waits according to its rank, which depends on
 * the version, and does not write if a snapshot has appeared in the meantime. A
 * node that does not read the snapshots stream could not detect that.
 */
export class SnapshotWriter {
  private dueSince: number | undefined;
  private lastSeenVersion = -1;
  private lastSeenAt = 0;
  private lastSeenOffset = -1;
  private isNewestLost = false;
  private everyRecords: number;
  private pendingChunks: ControlAction[] = [];
  private isAppending = false;
  private serial = 0;
  private nextStartAt = 0;

  constructor(
    private readonly membership: Membership,
    private readonly settings: SnapshotSettings,
  ) {
    this.everyRecords = settings.everyRecords;
  }

  /** Records a complete snapshot; offset is that of its last chunk in the log. */
  observeSnapshot(now: number, version: number, offset: number): void {
    this.lastSeenVersion = Math.max(this.lastSeenVersion, version);
    this.lastSeenAt = now;
    this.lastSeenOffset = offset;
    this.dueSince = undefined;
  }

  /**
   * Handles a restored log: known snapshots may be lost, or be of a lost
   * history. A snapshot of the new history is due, so that no node has to use
   * an earlier one.
   */
  logRestored(): void {
    this.lastSeenVersion = 0;
    this.lastSeenOffset = -1;
    this.isNewestLost = true;
    this.nextStartAt = 0;
    this.dueSince = undefined;
    this.pendingChunks = [];
  }

  /** Adapts to the number of configuration records that the log retains. */
  observeRetention(first: number, next: number): void {
    this.everyRecords =
      first === 0
        ? this.settings.everyRecords
        : Math.min(
            this.settings.everyRecords,
            Math.max(1, Math.floor((next - first) / SNAPSHOTS_IN_RETENTION)),
          );
  }

  /** Handles the first offset that the snapshots stream retains. */
  observeSnapshotRetention(first: number): void {
    this.isNewestLost = first > this.lastSeenOffset;
  }

  tick(
    now: number,
    state: ConfigurationState,
    era: Era,
  ): readonly ControlAction[] {
    if (this.pendingChunks.length > 0 || this.isAppending) {
      return this.nextChunk();
    }
    if (now < this.nextStartAt || !this.isDue(now, state)) {
      this.dueSince = undefined;
      return [];
    }
    this.dueSince ??= now;
    if (
      now - this.dueSince <
      this.writerRank(state.version) * RANK_DELAY_MILLISECONDS
    ) {
      return [];
    }
    return this.start(now, state, era);
  }

  /** Handles the result of a chunk append; a failed one aborts the snapshot. */
  appendEnded(wasConfirmed: boolean): readonly ControlAction[] {
    this.isAppending = false;
    if (!wasConfirmed) {
      this.pendingChunks = [];
      return [];
    }
    return this.nextChunk();
  }

  private isDue(now: number, state: ConfigurationState): boolean {
    if (state.version === 0) {
      return false;
    }
    const records = state.version - Math.max(0, this.lastSeenVersion);
    const age = now - this.lastSeenAt;
    return (
      records >= this.everyRecords ||
      (this.lastSeenVersion >= 0 &&
        (this.isNewestLost || age >= this.settings.everyMilliseconds))
    );
  }

  private start(
    now: number,
    state: ConfigurationState,
    era: Era,
  ): readonly ControlAction[] {
    this.nextStartAt = now + MIN_INTERVAL_MILLISECONDS;
    this.serial += 1;
    const {box, incarnation} = this.membership.own;
    const chunks = encodeSnapshot(
      state,
      `${box} ${incarnation} ${this.serial}`,
      era,
    );
    this.pendingChunks = chunks.map((value) => ({
      kind: 'append',
      token: 'snapshot',
      stream: 'snapshots',
      value,
    }));
    const startEvent: ControlAction = {
      kind: 'timeline',
      event: 'snapshot-begun',
      subject: box,
      detail: {version: state.version, chunks: chunks.length},
    };
    return [startEvent, ...this.nextChunk()];
  }

  private nextChunk(): readonly ControlAction[] {
    const next = this.isAppending ? undefined : this.pendingChunks.shift();
    if (next === undefined) {
      return [];
    }
    this.isAppending = true;
    return [next];
  }

  /** Number of log readers ranked before this one at a version. */
  private writerRank(version: number): number {
    const epoch = Math.floor(version / this.everyRecords);
    const rank = (box: string): number => stableHash(`${epoch} ${box}`);
    const ownRank = rank(this.membership.own.box);
    const members = this.membership.all();
    return members.filter(
      (member) =>
        isUsable(member) &&
        rank(member.box) < ownRank &&
        isLogReader(member, members),
    ).length;
  }
}
