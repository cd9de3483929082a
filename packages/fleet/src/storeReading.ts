// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a node reads of the store's streams, and whether the store answers. */

import type {RandomSource} from '@lockpin/types';
import type {FleetAction} from './fleetMessages.js';
import {note} from './fleetNote.js';
import {RECORD_STREAMS} from './recordStore.js';
import type {RecordStream, StoreFailure} from './recordStore.js';
import type {ReadingTurn} from './readingTurn.js';
import {StreamFollower} from './streamFollower.js';
import type {FirstRead, ReadEnd} from './streamFollower.js';

/** Failed reads in a row after which the store counts as lost. */
const FAILURES_TO_LOSE_STORE = 2;

/**
 * When a fleet starts for the first time no box has written yet. Upstreams announce
 * themselves within 1.5 s of their start; one read after that finds them all.
 */
const FIRST_START_MILLISECONDS = 2000;

/** A read that was given up. */
const NO_ANSWER: StoreFailure = {
  kind: 'unavailable',
  detail: 'no answer in time',
};

/** The part that a node has in reading the store for the fleet. */
export interface ReadingPart {
  /** It reads on, for others or for itself. */
  readonly isFollowing: boolean;
  readonly turn: ReadingTurn;
}

/** Follows both streams; notes when the store is lost, and regained. */
export class StoreReading {
  private readonly followers: Readonly<Record<RecordStream, StreamFollower>>;
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

  /** A peer knows a newer version than the store has brought to this node. */
  newerVersionHeard(now: number): void {
    this.followers.configuration.expectNews(now);
  }

  /** The store was restored to an earlier state. */
  restored(now: number): void {
    RECORD_STREAMS.forEach((stream) => this.followers[stream].restored(now));
  }

  /** A newer version came into force, however it came. */
  versionCame(): void {
    this.followers.configuration.newsCame();
  }

  /** The reads that are due now; once a stream was read, only if it is followed. */
  due(now: number, {isFollowing, turn}: ReadingPart): readonly FleetAction[] {
    return RECORD_STREAMS.flatMap((stream) => {
      const follower = this.followers[stream];
      const hung = this.noteHung(now, stream);
      const isDue = isFollowing || !follower.hasRead;
      const read = isDue ? follower.due(now, turn) : undefined;
      return read === undefined ? hung : [...hung, read];
    });
  }

  /** Takes in the end of a read; says what is to be noted of it. */
  ended(
    now: number,
    random: RandomSource,
    stream: RecordStream,
    end: ReadEnd,
  ): readonly FleetAction[] {
    this.followers[stream].ended(now, random, end);
    const {result} = end;
    if (!result.ok) {
      return this.noteLoss(stream, result.failure);
    }
    this.lastAnswerAt = now;
    const wasLost = this.hasLostStore;
    this.hasLostStore = false;
    return wasLost ? [note('store-regained', stream, {})] : [];
  }

  private noteHung(now: number, stream: RecordStream): readonly FleetAction[] {
    const hung = this.followers[stream].giveUp(now);
    return hung === undefined
      ? []
      : [
          note('store-read-hung', stream, {...hung}),
          ...this.noteLoss(stream, NO_ANSWER),
        ];
  }

  private noteLoss(
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
