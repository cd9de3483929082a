// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * A node's role in reading the store: for its data centre, for itself, or none.
 */

import type {RandomSource} from '@lockpin/types';
import type {BoxDirectory} from './boxDirectory.js';
import type {FleetAction} from './fleetMessages.js';
import type {NodeIdentity} from './nodeIdentity.js';
import {note} from './fleetNote.js';
import type {RecordStream} from './recordStore.js';
import {RecordReaders} from './recordReaders.js';
import type {FollowedPeers} from './nodeIdentity.js';
import {StoreReading} from './storeReading.js';
import type {ReadEnd} from './streamFollower.js';

/** Reads whatever no other node reads on behalf of this one. */
export class StoreDuty {
  readonly readers: RecordReaders;
  private readonly streams: StoreReading;
  private serializedPeers = '';
  private wasReadingStore = false;
  private isLeaving = false;

  constructor(
    identity: NodeIdentity,
    private readonly directory: BoxDirectory,
    isFirstStart: boolean,
    maximumReadMilliseconds?: number,
  ) {
    this.readers = new RecordReaders(identity, directory);
    this.streams = new StoreReading(isFirstStart, maximumReadMilliseconds);
  }

  /** Whether this node has read the members of the fleet. */
  get hasReadBoxes(): boolean {
    return this.streams.hasReadBoxes;
  }

  /** Whether this node keeps reading the store, for others or for itself. */
  isFollowing(now: number): boolean {
    return this.hasReadBoxes && !this.isLeaving && this.readers.hasToRead(now);
  }

  /** Whether it reads and the store answers, so that others may rely on it. */
  isServing(now: number): boolean {
    return this.isFollowing(now) && !this.streams.isInTrouble;
  }

  /** Whether neither the store nor a reader informs this node of changes. */
  lacksNews(now: number): boolean {
    const isFresh = this.readers.hearsReader(now) || this.isServing(now);
    return !isFresh && (this.streams.isInTrouble || this.readers.isAlone(now));
  }

  /**
   * Milliseconds since the store answered this node or a reader that it
   * follows.
   */
  newsAge(now: number): number | undefined {
    const ownStaleness = this.isFollowing(now)
      ? this.streams.answerAge(now)
      : undefined;
    const readerStaleness = this.readers.newsAge(now);
    return ownStaleness === undefined || readerStaleness === undefined
      ? (ownStaleness ?? readerStaleness)
      : Math.min(ownStaleness, readerStaleness);
  }

  /** Milliseconds since the store answered this node; 0 if it never did. */
  storeAge(now: number): number {
    return this.streams.answerAge(now) ?? 0;
  }

  /** Hands reading over to other nodes. */
  leave(): void {
    this.isLeaving = true;
  }

  /** Returns the peers to follow and the reads that are due. */
  goOn(now: number): readonly FleetAction[] {
    if (this.hasReadBoxes) {
      this.readers.tick(now);
    }
    const isReadingStore = this.isFollowing(now);
    const pollPhase = this.readers.turn();
    return [
      ...this.streams.due(now, {isFollowing: isReadingStore, turn: pollPhase}),
      ...this.followPeers(now),
      ...this.logRoleChange(isReadingStore),
    ];
  }

  /** Handles the end of a read and returns what to log. */
  readEnded(
    now: number,
    random: RandomSource,
    stream: RecordStream,
    end: ReadEnd,
  ): readonly FleetAction[] {
    return this.streams.ended(now, random, stream, end);
  }

  /** A peer reported a newer version than the one in force here. */
  newerVersionHeard(now: number): void {
    this.streams.newerVersionHeard(now);
  }

  /** The store was restored to an earlier state. */
  storeRestored(now: number): void {
    this.streams.restored(now);
  }

  /**
   * Whether this node is the one reader that maintains records of departed
   * boxes.
   */
  get actsForOthers(): boolean {
    return this.readers.isReader && this.readers.turn().phase === 0;
  }

  /** A newer version came into force. */
  versionCame(): void {
    this.streams.versionCame();
  }

  private followPeers(now: number): readonly FleetAction[] {
    const peers: FollowedPeers = this.readers.followed(now);
    const serializedPeers = JSON.stringify(peers);
    if (serializedPeers === this.serializedPeers || !this.hasReadBoxes) {
      return [];
    }
    this.serializedPeers = serializedPeers;
    return [{kind: 'follow-peers', peers}];
  }

  private logRoleChange(isReadingStore: boolean): readonly FleetAction[] {
    if (isReadingStore === this.wasReadingStore) {
      return [];
    }
    this.wasReadingStore = isReadingStore;
    const {isReader} = this.readers;
    const event = isReadingStore ? 'store-reading-begun' : 'store-reading-left';
    return [note(event, '', {isReader, boxes: this.directory.size})];
  }
}
