// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Reads the store's streams and detects whether the store answers. */

import type {RandomSource} from '@lockpin/types';
import type {FleetAction} from './fleetMessages.js';
import {logEvent} from './logEvent.js';
import {RECORD_STREAMS} from './recordStore.js';
import type {RecordStream, StoreFailure} from './recordStore.js';
import type {PollPhase} from './pollPhase.js';
import {StreamFollower} from './streamFollower.js';
import type {InitialRead, ReadEnd} from './streamFollower.js';

/** Consecutive failed reads after which the store counts as lost. */
const FAILURES_UNTIL_LOST = 2;

/**
 * At the first start of a fleet no box has written its record yet. Upstreams
 * announce themselves within 1.5 s of their start, so a single read after this
 * delay finds them all.
 */
const FIRST_START_DELAY_MILLISECONDS = 2000;

/** Failure recorded for a read that timed out. */
const NO_ANSWER: StoreFailure = {
  kind: 'unavailable',
  detail: 'read timed out',
};

/** A node's current role in reading the store for the fleet. */
export interface ReadRole {
  /** The node keeps reading, for others or for itself. */
  readonly isReadingStore: boolean;
  readonly pollPhase: () => PollPhase;
  /** A reader that this node follows informs it. */
  readonly isReaderHeard: boolean;
}

/** Follows both streams; logs when the store is lost and when it is back. */
export class StoreStreams {
  private readonly followers: Readonly<Record<RecordStream, StreamFollower>>;
  private hasLostStore = false;
  private lastAnswerAt: number | undefined;
  private lastGap = 0;

  constructor(isFirstStart: boolean, maximumReadMilliseconds?: number) {
    const firstBoxes: InitialRead = isFirstStart
      ? {
          kind: 'full-history',
          afterMilliseconds: FIRST_START_DELAY_MILLISECONDS,
        }
      : {kind: 'newest'};
    this.followers = {
      configuration: new StreamFollower(
        'configuration',
        {kind: 'newest'},
        maximumReadMilliseconds,
      ),
      boxes: new StreamFollower('boxes', firstBoxes),
    };
  }

  /** Several reads in a row have failed, and none has succeeded since. */
  get isLost(): boolean {
    return this.hasLostStore;
  }

  /**
   * The store may not deliver newer configurations, so peers are queried
   * instead.
   */
  get isFailing(): boolean {
    return this.isLost || this.followers.configuration.failureCount > 0;
  }

  /** Whether this node has read the members of the fleet. */
  get hasReadBoxes(): boolean {
    return this.followers.boxes.hasRead;
  }

  /**
   * Milliseconds since the store last answered a read; undefined before it did.
   */
  lastAnswerAge(now: number): number | undefined {
    return this.lastAnswerAt === undefined
      ? undefined
      : now - this.lastAnswerAt;
  }

  /**
   * Milliseconds from the store's previous answer to its last one; 0 before the
   * second.
   */
  get lastAnswerGap(): number {
    return this.lastGap;
  }

  /** A peer has a newer version than the store has delivered to this node. */
  newerVersionReported(now: number): void {
    this.followers.configuration.expectUpdate(now);
  }

  /** The store was restored to an earlier state. */
  restored(now: number): void {
    RECORD_STREAMS.forEach((stream) => this.followers[stream].restored(now));
  }

  /** A newer version came into force, from whichever source. */
  versionAdopted(): void {
    this.followers.configuration.updateReceived();
  }

  /**
   * The reads that are due now. Each stream is read until a read succeeds;
   * after that, while the node keeps reading, or if a peer does not deliver
   * what it has. The configuration is also followed while the boxes cannot be
   * read, since without them the node has no peers.
   */
  due(
    now: number,
    {isReadingStore, pollPhase, isReaderHeard}: ReadRole,
  ): readonly FleetAction[] {
    return RECORD_STREAMS.flatMap((stream) => {
      const follower = this.followers[stream];
      const timedOut = this.logTimedOutRead(now, stream, isReaderHeard);
      const isDue =
        isReadingStore ||
        !follower.hasRead ||
        follower.isReadNeeded(now) ||
        this.hasFailedToReadBoxes;
      const read = isDue ? follower.due(now, pollPhase()) : undefined;
      return read === undefined ? timedOut : [...timedOut, read];
    });
  }

  /** Handles the end of a read and returns what to log. */
  ended(
    now: number,
    random: RandomSource,
    stream: RecordStream,
    end: ReadEnd,
  ): readonly FleetAction[] {
    this.followers[stream].ended(now, random, end);
    const {result} = end;
    if (!result.ok) {
      return this.logLoss(stream, result.failure);
    }
    this.lastGap = now - (this.lastAnswerAt ?? now);
    this.lastAnswerAt = now;
    // Without the boxes, answers about the configuration do not end the loss.
    if (this.hasFailedToReadBoxes) {
      return [];
    }
    const wasLost = this.hasLostStore;
    this.hasLostStore = false;
    return wasLost ? [logEvent('store-regained', stream, {})] : [];
  }

  private get hasFailedToReadBoxes(): boolean {
    const {hasRead, failureCount} = this.followers.boxes;
    return !hasRead && failureCount > 0;
  }

  private logTimedOutRead(
    now: number,
    stream: RecordStream,
    isReaderHeard: boolean,
  ): readonly FleetAction[] {
    const timedOut = this.followers[stream].timeOutOverdue(now);
    return timedOut === undefined
      ? []
      : [
          logEvent('store-read-hung', stream, {...timedOut, isReaderHeard}),
          ...this.logLoss(stream, NO_ANSWER),
        ];
  }

  private logLoss(
    stream: RecordStream,
    {kind, detail}: StoreFailure,
  ): readonly FleetAction[] {
    const {failureCount} = this.followers[stream];
    if (this.hasLostStore || failureCount < FAILURES_UNTIL_LOST) {
      return [];
    }
    this.hasLostStore = true;
    return [logEvent('store-lost', stream, {kind, detail, failureCount})];
  }
}
