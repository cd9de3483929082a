// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** When a node reads a stream of the store, and from where. */

import type {RandomSource, StreamPosition} from '@lockpin/types';
import {waitForTurn} from './readingTurn.js';
import type {ReadingTurn} from './readingTurn.js';
import type {RecordPage, RecordStream, StoreResult} from './recordStore.js';

/** A read that is to be made now. */
export type StreamRead =
  | {
      readonly kind: 'read-newest';
      readonly stream: RecordStream;
      readonly read: number;
    }
  | {
      readonly kind: 'follow';
      readonly stream: RecordStream;
      /** Tells the reads of a node apart; later ones have higher numbers. */
      readonly read: number;
      readonly from: StreamPosition;
      readonly waitMilliseconds: number;
    };

/** How a read ended. */
export interface ReadEnd {
  readonly read: number;
  readonly result: StoreResult<RecordPage>;
}

/** A read that was not answered in time. */
export interface HungRead {
  readonly milliseconds: number;
}

/** First pause after a failed read; doubled with each further one. */
const FIRST_BACKOFF_MILLISECONDS = 150;

/** Records must be back within two seconds of the store's return. */
const LONGEST_BACKOFF_MILLISECONDS = 1000;

/**
 * Changes tend to come in series. Reading on after a pause gathers them in one
 * answer, since every call to the store is paid for.
 */
const GATHER_MILLISECONDS: Readonly<Record<RecordStream, number>> = {
  configuration: 150,
  boxes: 1000,
};

/**
 * In a larger fleet boxes change more often, and each change wakes every node:
 * reads of changes would grow with the square of the nodes.
 */
const GATHER_PER_NODE_MILLISECONDS = 50;

/** A new box is to have work within a few seconds in a fleet of any size. */
const LONGEST_GATHER_MILLISECONDS = 5000;

/** In a very large fleet the rate of reads counts for more than that. */
const RATE_GATHER_PER_NODE_MILLISECONDS = 2;

/** An answer that takes longer than the wait and this may never come. */
const SHORTEST_PATIENCE_MILLISECONDS = 500;

/** However slow the store's answers were. */
const LONGEST_PATIENCE_MILLISECONDS = 2500;

/** Answers may take this many times longer than the last one did. */
const PATIENCE_FACTOR = 2;

/**
 * While reads hang, one is begun this often: what was sent into a silence is never
 * answered, and only a read that begins after it shows that it is over.
 */
const PROBE_MILLISECONDS = 1000;

/** A read that is under way should have brought what a peer knows by then. */
const NEWS_MILLISECONDS = 150;

/** Where a history begins that nothing was ever taken out of. */
const HISTORY_BEGIN: StreamPosition = {era: 0, offset: 0};

/** What the first read of a stream asks for. */
export type FirstRead =
  | {readonly kind: 'newest'}
  /** All that was ever written, some time after the process began. */
  | {readonly kind: 'whole-history'; readonly afterMilliseconds: number};

/** A read that was begun and may still be answered. */
interface BegunRead {
  readonly read: number;
  readonly begunAt: number;
  readonly waitMilliseconds: number;
}

/** One read at a time is waited for; a pause follows news and failures. */
export class StreamFollower {
  private from: StreamPosition | undefined;
  /** The newest one, while its answer is not overdue. */
  private current: BegunRead | undefined;
  /** All that have not ended; what is overdue is welcome still. */
  private readonly begun = new Map<number, BegunRead>();
  private lastRead = 0;
  private hasEndedWell = false;
  /** Undefined until the follower is first asked. */
  private nextAt: number | undefined;
  private failures = 0;
  /** The last read of records that follow found them gone. */
  private isHistoryLost = false;
  private patience = SHORTEST_PATIENCE_MILLISECONDS;
  /** When a peer first told of what the store has not brought yet. */
  private expectsNewsSince: number | undefined;
  private readers = 1;

  constructor(
    private readonly stream: RecordStream,
    private readonly firstRead: FirstRead = {kind: 'newest'},
    /** No read waits longer for news; in milliseconds. */
    private readonly longestRead = Number.POSITIVE_INFINITY,
  ) {
    this.from = firstRead.kind === 'whole-history' ? HISTORY_BEGIN : undefined;
  }

  /** Reads failed, one after the other, until now. */
  get failureCount(): number {
    return this.failures;
  }

  /** Whether the stream was read at all. */
  get hasRead(): boolean {
    return this.hasEndedWell;
  }

  /**
   * The store was restored. Reads that are under way may skip what was written since, as
   * their offsets are given out again: all is read anew, at once.
   */
  restored(now: number): void {
    this.from = undefined;
    this.current = undefined;
    this.nextAt = this.nextAt === undefined ? undefined : now;
  }

  /** A peer knows what this stream should have brought. */
  expectNews(now: number): void {
    this.expectsNewsSince ??= now;
  }

  /** What was expected is here, however it came. */
  newsCame(): void {
    this.expectsNewsSince = undefined;
  }

  /** Stops waiting for a read whose answer is overdue; says so once of each. */
  giveUp(now: number): HungRead | undefined {
    const {current} = this;
    if (current === undefined || now < this.dueBy(current)) {
      return undefined;
    }
    this.current = undefined;
    this.failures += 1;
    this.nextAt = Math.max(now, current.begunAt + PROBE_MILLISECONDS);
    return {milliseconds: Math.round(now - current.begunAt)};
  }

  /** The read that is due now, if any. */
  due(now: number, turn: ReadingTurn): StreamRead | undefined {
    this.nextAt ??= now + this.firstDelay;
    const isDoubtful = this.lacksNews(now);
    if (isDoubtful) {
      this.expectsNewsSince = undefined;
    } else if (this.current !== undefined || now < this.nextAt) {
      return undefined;
    }
    this.readers = turn.readers;
    return this.begin(now, turn, isDoubtful || this.failures > 0);
  }

  /** Takes in the end of a read. */
  ended(now: number, random: RandomSource, {read, result}: ReadEnd): void {
    const begun = this.begun.get(read);
    this.begun.delete(read);
    if (result.ok) {
      this.answered(now, begun, result.value);
    }
    if (begun === undefined || begun !== this.current) {
      return;
    }
    this.current = undefined;
    if (result.ok) {
      this.readOn(now, result.value);
    } else if (result.failure.kind === 'history-gone') {
      this.readAnew(now);
    } else {
      this.failed(now, random);
    }
  }

  /** The read under way has not brought what a peer has known for a while. */
  private lacksNews(now: number): boolean {
    const {current, expectsNewsSince} = this;
    return (
      expectsNewsSince !== undefined &&
      current !== undefined &&
      current.begunAt < expectsNewsSince &&
      now - expectsNewsSince >= NEWS_MILLISECONDS
    );
  }

  private begin(now: number, turn: ReadingTurn, isProbe: boolean): StreamRead {
    const {stream, from} = this;
    this.lastRead += 1;
    const read = this.lastRead;
    const waitMilliseconds =
      from === undefined || isProbe
        ? 0
        : waitForTurn(now, stream, turn, this.longestRead);
    this.current = {read, begunAt: now, waitMilliseconds};
    this.begun.set(read, this.current);
    return from === undefined
      ? {kind: 'read-newest', stream, read}
      : {kind: 'follow', stream, read, from, waitMilliseconds};
  }

  /** The store speaks, also where the answer is to a read that was given up. */
  private answered(
    now: number,
    begun: BegunRead | undefined,
    {records}: RecordPage,
  ): void {
    this.failures = 0;
    this.hasEndedWell = true;
    if (begun !== undefined && records.length === 0) {
      const took = now - begun.begunAt - begun.waitMilliseconds;
      this.patience = Math.min(
        LONGEST_PATIENCE_MILLISECONDS,
        Math.max(SHORTEST_PATIENCE_MILLISECONDS, took * PATIENCE_FACTOR),
      );
    }
  }

  private readOn(now: number, {records, end}: RecordPage): void {
    // Only records that follow on show that the history is there again.
    this.isHistoryLost &&= this.from === undefined;
    this.from = end;
    this.nextAt = records.length > 0 ? now + this.gather() : now;
  }

  /** At once for the first time; a store that keeps saying so is not pressed. */
  private readAnew(now: number): void {
    this.nextAt = this.isHistoryLost ? now + FIRST_BACKOFF_MILLISECONDS : now;
    this.isHistoryLost = true;
    this.from = undefined;
  }

  private failed(now: number, random: RandomSource): void {
    const pause = Math.min(
      LONGEST_BACKOFF_MILLISECONDS,
      FIRST_BACKOFF_MILLISECONDS * 2 ** this.failures,
    );
    this.failures += 1;
    this.nextAt = now + pause * (0.5 + random());
  }

  /** All boxes come in several pages, each of which takes as long as an answer. */
  private dueBy({begunAt, waitMilliseconds}: BegunRead): number {
    const hasPages = this.from === undefined && this.stream === 'boxes';
    const patience = hasPages ? LONGEST_PATIENCE_MILLISECONDS : this.patience;
    return begunAt + waitMilliseconds + patience;
  }

  private get firstDelay(): number {
    const {firstRead} = this;
    return firstRead.kind === 'newest' ? 0 : firstRead.afterMilliseconds;
  }

  /** How long the pause after news is. */
  private gather(): number {
    const least = GATHER_MILLISECONDS[this.stream];
    if (this.stream !== 'boxes') {
      return least;
    }
    const {readers} = this;
    const wanted = Math.min(
      LONGEST_GATHER_MILLISECONDS,
      readers * GATHER_PER_NODE_MILLISECONDS,
    );
    return Math.max(least, wanted, readers * RATE_GATHER_PER_NODE_MILLISECONDS);
  }
}
