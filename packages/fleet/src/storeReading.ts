// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a node reads of the store's streams, and whether the store answers. */

import type {RandomSource} from '@lockpin/types';
import type {FleetAction} from './fleetMessages.js';
import {note} from './fleetNote.js';
import type {
  RecordPage,
  RecordStream,
  StoreFailure,
  StoreResult,
} from './recordStore.js';
import {StreamFollower} from './streamFollower.js';
import type {FirstRead} from './streamFollower.js';

/** Failed reads in a row after which the store counts as lost. */
const FAILURES_TO_LOSE_STORE = 2;

/** A read that ends without an answer after this long was left hanging. */
const HUNG_MILLISECONDS = 1000;

/**
 * When a fleet starts for the first time no box has written yet. Upstreams announce
 * themselves within 1.5 s of their start; one read after that finds them all.
 */
const FIRST_START_MILLISECONDS = 2000;

/** The part that a node has in reading the store for the fleet. */
export interface ReadingPart {
  /** It reads on, for others or for itself. */
  readonly isFollowing: boolean;
  /** Nodes that read the store, this one included. */
  readonly readers: number;
}

/** Follows both streams; notes when the store is lost, and regained. */
export class StoreReading {
  private readonly followers: Readonly<Record<RecordStream, StreamFollower>>;
  private readonly begunAt: Record<RecordStream, number> = {
    configuration: 0,
    boxes: 0,
  };
  private hasLostStore = false;
  private lastAnswerAt: number | undefined;

  constructor(isFirstStart: boolean, longestRead?: number) {
    const firstBoxes: FirstRead = isFirstStart
      ? {kind: 'whole-history', afterMilliseconds: FIRST_START_MILLISECONDS}
      : {kind: 'newest'};
    this.followers = {
      configuration: new StreamFollower(
        'configuration',
        {kind: 'newest'},
        longestRead,
      ),
      boxes: new StreamFollower('boxes', firstBoxes),
    };
  }

  /** Several reads in a row have failed, and none has ended well since. */
  get isLost(): boolean {
    return this.hasLostStore;
  }

  /** Newer configurations may not come from the store: peers are asked instead. */
  get isInTrouble(): boolean {
    return this.isLost || this.followers.configuration.failureCount > 0;
  }

  /** Whether this node has read who is in the fleet. */
  get hasReadBoxes(): boolean {
    return this.followers.boxes.hasRead;
  }

  /** Milliseconds since the store last answered a read; undefined before it did. */
  answerAge(now: number): number | undefined {
    return this.lastAnswerAt === undefined
      ? undefined
      : now - this.lastAnswerAt;
  }

  /** The reads that are due now; once a stream was read, only if it is followed. */
  due(
    now: number,
    random: RandomSource,
    {isFollowing, readers}: ReadingPart,
  ): readonly FleetAction[] {
    const reads = Object.values(this.followers)
      .filter((follower) => isFollowing || !follower.hasRead)
      .flatMap((follower) => follower.due(now, random, readers) ?? []);
    reads.forEach(({stream}) => (this.begunAt[stream] = now));
    return reads;
  }

  /** Takes in the end of a read; says what is to be noted of it. */
  ended(
    now: number,
    random: RandomSource,
    stream: RecordStream,
    result: StoreResult<RecordPage>,
  ): readonly FleetAction[] {
    const follower = this.followers[stream];
    follower.ended(now, random, result);
    if (result.ok) {
      this.lastAnswerAt = now;
      const wasLost = this.hasLostStore;
      this.hasLostStore = false;
      return wasLost ? [note('store-regained', stream, {})] : [];
    }
    const {kind, detail} = result.failure;
    const milliseconds = Math.round(now - this.begunAt[stream]);
    const hung =
      milliseconds < HUNG_MILLISECONDS
        ? []
        : [note('store-read-hung', stream, {kind, detail, milliseconds})];
    return [...hung, ...this.loss(stream, result.failure)];
  }

  private loss(
    stream: RecordStream,
    {kind, detail}: StoreFailure,
  ): readonly FleetAction[] {
    const {failureCount} = this.followers[stream];
    if (this.hasLostStore || failureCount < FAILURES_TO_LOSE_STORE) {
      return [];
    }
    this.hasLostStore = true;
    return [note('store-lost', stream, {kind, detail, failureCount})];
  }
}
