// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** When a node writes a snapshot, so that one does and not all. */

import {encodeSnapshot} from '@lockpin/configuration';
import type {ConfigurationState} from '@lockpin/configuration';
import type {Era} from '@lockpin/types';
import {isLogReader, isUsable} from '@lockpin/membership';
import type {Membership} from '@lockpin/membership';
import {stableHash} from '@lockpin/utils';
import type {ControlAction} from './controlMessages.js';

/** When a snapshot is due. */
export interface SnapshotSettings {
  /** Records after which a new one is due. */
  readonly everyRecords: number;
  /** Milliseconds after which it is written again even without changes. */
  readonly everyMilliseconds: number;
}

/** Milliseconds that each further node in line waits for those before it. */
const TURN_MILLISECONDS = 5000;

/** So many snapshots fit into what the log retains, so that one is always whole. */
const SNAPSHOTS_IN_RETENTION = 3;

/** After writing, time for the snapshot to be read back by everyone. */
const COOL_DOWN_MILLISECONDS = 60_000;

/**
 * Any node that reads the log may write. Each waits for its turn in an order
 * that depends on the version, and does not write when a snapshot has appeared
 * meanwhile. A node that does not read the stream could not see that one has.
 */
export class SnapshotWriter {
  private dueSince: number | undefined;
  private lastSeenVersion = -1;
  private lastSeenAt = 0;
  private lastSeenOffset = -1;
  private isNewestLost = false;
  private everyRecords: number;
  private writing: ControlAction[] = [];
  private isAppending = false;
  private serial = 0;
  private nextBeginAt = 0;

  constructor(
    private readonly membership: Membership,
    private readonly settings: SnapshotSettings,
  ) {
    this.everyRecords = settings.everyRecords;
  }

  /** A whole snapshot was seen in the log; offset is that of its last chunk. */
  seen(now: number, version: number, offset: number): void {
    this.lastSeenVersion = Math.max(this.lastSeenVersion, version);
    this.lastSeenAt = now;
    this.lastSeenOffset = offset;
    this.dueSince = undefined;
  }

  /**
   * The log was restored: what was seen there may be gone, or be of a history that is. One
   * of the new history is due, so that nobody has to go by an earlier one.
   */
  logRestored(): void {
    this.lastSeenVersion = 0;
    this.lastSeenOffset = -1;
    this.isNewestLost = true;
    this.nextBeginAt = 0;
    this.dueSince = undefined;
    this.writing = [];
  }

  /** A read showed how many configuration records the log still keeps. */
  retentionSeen(first: number, next: number): void {
    this.everyRecords =
      first === 0
        ? this.settings.everyRecords
        : Math.min(
            this.settings.everyRecords,
            Math.max(1, Math.floor((next - first) / SNAPSHOTS_IN_RETENTION)),
          );
  }

  /** A read showed where the snapshots stream begins now. */
  snapshotsRetained(first: number): void {
    this.isNewestLost = first > this.lastSeenOffset;
  }

  tick(
    now: number,
    state: ConfigurationState,
    era: Era,
  ): readonly ControlAction[] {
    if (this.writing.length > 0 || this.isAppending) {
      return this.nextChunk();
    }
    if (now < this.nextBeginAt || !this.isDue(now, state)) {
      this.dueSince = undefined;
      return [];
    }
    this.dueSince ??= now;
    if (now - this.dueSince < this.turn(state.version) * TURN_MILLISECONDS) {
      return [];
    }
    return this.begin(now, state, era);
  }

  /** An append of a chunk ended; a failed one spoils the snapshot. */
  appendEnded(wasConfirmed: boolean): readonly ControlAction[] {
    this.isAppending = false;
    if (!wasConfirmed) {
      this.writing = [];
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

  private begin(
    now: number,
    state: ConfigurationState,
    era: Era,
  ): readonly ControlAction[] {
    this.nextBeginAt = now + COOL_DOWN_MILLISECONDS;
    this.serial += 1;
    const {box, incarnation} = this.membership.own;
    const chunks = encodeSnapshot(
      state,
      `${box} ${incarnation} ${this.serial}`,
      era,
    );
    this.writing = chunks.map((value) => ({
      kind: 'append',
      token: 'snapshot',
      stream: 'snapshots',
      value,
    }));
    const begun: ControlAction = {
      kind: 'timeline',
      event: 'snapshot-begun',
      subject: box,
      detail: {version: state.version, chunks: chunks.length},
    };
    return [begun, ...this.nextChunk()];
  }

  private nextChunk(): readonly ControlAction[] {
    const next = this.isAppending ? undefined : this.writing.shift();
    if (next === undefined) {
      return [];
    }
    this.isAppending = true;
    return [next];
  }

  /** How many readers of the log come before this one at a version. */
  private turn(version: number): number {
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
