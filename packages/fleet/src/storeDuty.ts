// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A node's part in reading the store: for its data centre, for itself, or not at all. */

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

/** Reads what nobody else reads for this node. */
export class StoreDuty {
  readonly readers: RecordReaders;
  private readonly reading: StoreReading;
  private followed = '';
  private wasFollowing = false;
  private isLeaving = false;

  constructor(
    identity: NodeIdentity,
    private readonly directory: BoxDirectory,
    isFirstStart: boolean,
    longestRead?: number,
  ) {
    this.readers = new RecordReaders(identity, directory);
    this.reading = new StoreReading(isFirstStart, longestRead);
  }

  /** Whether this node has read who is in the fleet. */
  get hasReadBoxes(): boolean {
    return this.reading.hasReadBoxes;
  }

  /** Whether this node reads the store on, for others or for itself. */
  isFollowing(now: number): boolean {
    return this.hasReadBoxes && !this.isLeaving && this.readers.hasToRead(now);
  }

  /** Whether it reads, and the store answers: others may rely on it. */
  isServing(now: number): boolean {
    return this.isFollowing(now) && !this.reading.isInTrouble;
  }

  /** Neither the store nor a reader tells this node what is new. */
  lacksNews(now: number): boolean {
    const isTold = this.readers.hearsReader(now) || this.isServing(now);
    return !isTold && (this.reading.isInTrouble || this.readers.isAlone(now));
  }

  /** Milliseconds since the store answered this node, or a reader that it hears. */
  newsAge(now: number): number | undefined {
    const own = this.isFollowing(now) ? this.reading.answerAge(now) : undefined;
    const told = this.readers.newsAge(now);
    return own === undefined || told === undefined
      ? (own ?? told)
      : Math.min(own, told);
  }

  /** Milliseconds since the store answered this node; 0 where it never did. */
  storeAge(now: number): number {
    return this.reading.answerAge(now) ?? 0;
  }

  /** Others are to read from now on. */
  leave(): void {
    this.isLeaving = true;
  }

  /** Whom to follow, and which reads are due. */
  goOn(now: number): readonly FleetAction[] {
    if (this.hasReadBoxes) {
      this.readers.tick(now);
    }
    const isFollowing = this.isFollowing(now);
    const turn = this.readers.turn();
    return [
      ...this.reading.due(now, {isFollowing, turn}),
      ...this.followPeers(now),
      ...this.noteTurn(isFollowing),
    ];
  }

  /** Takes in the end of a read; says what is to be noted of it. */
  readEnded(
    now: number,
    random: RandomSource,
    stream: RecordStream,
    end: ReadEnd,
  ): readonly FleetAction[] {
    return this.reading.ended(now, random, stream, end);
  }

  /** A peer told of a newer version than the one in force here. */
  newerVersionHeard(now: number): void {
    this.reading.newerVersionHeard(now);
  }

  /** The store was restored to an earlier state. */
  storeRestored(now: number): void {
    this.reading.restored(now);
  }

  /** Whether of all nodes that read the store this one acts for boxes that are gone. */
  get actsForOthers(): boolean {
    return this.readers.isReader && this.readers.turn().phase === 0;
  }

  /** A newer version came into force. */
  versionCame(): void {
    this.reading.versionCame();
  }

  private followPeers(now: number): readonly FleetAction[] {
    const peers: FollowedPeers = this.readers.followed(now);
    const followed = JSON.stringify(peers);
    if (followed === this.followed || !this.hasReadBoxes) {
      return [];
    }
    this.followed = followed;
    return [{kind: 'follow-peers', peers}];
  }

  private noteTurn(isFollowing: boolean): readonly FleetAction[] {
    if (isFollowing === this.wasFollowing) {
      return [];
    }
    this.wasFollowing = isFollowing;
    const {isReader} = this.readers;
    const event = isFollowing ? 'store-reading-begun' : 'store-reading-left';
    return [note(event, '', {isReader, boxes: this.directory.size})];
  }
}
