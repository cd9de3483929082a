// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** When a node reads a stream of the store, and from where. */

import type {RandomSource} from '@lockpin/types';
import type {RecordPage, RecordStream, StoreResult} from './recordStore.js';

/** A read that is to be made now. */
export type StreamRead =
  | {readonly kind: 'read-newest'; readonly stream: RecordStream}
  | {
      readonly kind: 'follow';
      readonly stream: RecordStream;
      readonly from: number;
      readonly waitMilliseconds: number;
    };

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

/**
 * A read of a store that has gone silent hangs until its time is up. Nodes
 * read at different times, and the first to hear tells the others, so that
 * the wait may grow with the number of nodes that read: one of their reads ends
 * every 1.1 s on average, and news is back within two seconds of the store.
 */
const WAIT_PER_NODE_MILLISECONDS = 1500;

/** The least of that wait, in a small fleet. */
const SHORTEST_WAIT_MILLISECONDS = 2000;

/** The most of it, until the fleet is so large that the rate of reads counts. */
const LONGEST_WAIT_MILLISECONDS: Readonly<Record<RecordStream, number>> = {
  configuration: 20_000,
  boxes: 20_000,
};

/** The store lets a read wait no longer than 30 s. */
const MOST_WAIT_MILLISECONDS = 29_000;

/** Lets the reads of a large fleet stay within what the store can answer. */
const LONGEST_WAIT_PER_NODE_MILLISECONDS = 6;

/** What the first read of a stream asks for. */
export type FirstRead =
  | {readonly kind: 'newest'}
  /** All that was ever written, some time after the process began. */
  | {readonly kind: 'whole-history'; readonly afterMilliseconds: number};

/** One read at a time; a pause follows news, and failures but lost history. */
export class StreamFollower {
  private from: number | undefined;
  private isReading = false;
  private hasEndedWell = false;
  /** Undefined until the follower is first asked. */
  private nextAt: number | undefined;
  private failures = 0;
  /** The last read of records that follow found them gone. */
  private isHistoryLost = false;
  private nodes = 1;

  constructor(
    private readonly stream: RecordStream,
    private readonly firstRead: FirstRead = {kind: 'newest'},
    /** No read waits longer for news; in milliseconds. */
    private readonly longestRead = MOST_WAIT_MILLISECONDS,
  ) {
    this.from = firstRead.kind === 'whole-history' ? 0 : undefined;
  }

  /** Reads failed, one after the other, until now. */
  get failureCount(): number {
    return this.failures;
  }

  /** Whether the stream was read at all. */
  get hasRead(): boolean {
    return this.hasEndedWell;
  }

  /** The read that is due now, if any. */
  due(
    now: number,
    random: RandomSource,
    nodes: number,
  ): StreamRead | undefined {
    this.nextAt ??= now + this.firstDelay;
    if (this.isReading || now < this.nextAt) {
      return undefined;
    }
    this.isReading = true;
    this.nodes = nodes;
    const {stream, from} = this;
    return from === undefined
      ? {kind: 'read-newest', stream}
      : {
          kind: 'follow',
          stream,
          from,
          waitMilliseconds: Math.min(
            this.longestRead,
            waitFor(stream, random, nodes),
          ),
        };
  }

  /** Takes in the end of a read. */
  ended(
    now: number,
    random: RandomSource,
    result: StoreResult<RecordPage>,
  ): void {
    this.isReading = false;
    if (result.ok) {
      this.failures = 0;
      this.hasEndedWell = true;
      // Only records that follow on show that the history is there again.
      this.isHistoryLost &&= this.from === undefined;
      this.from = result.value.end;
      const isNews = result.value.records.length > 0;
      this.nextAt = isNews ? now + this.gather() : now;
      return;
    }
    if (result.failure.kind === 'history-gone') {
      // At once for the first time; a store that keeps saying so is not pressed.
      this.nextAt = this.isHistoryLost ? now + FIRST_BACKOFF_MILLISECONDS : now;
      this.isHistoryLost = true;
      this.from = undefined;
      return;
    }
    const pause = Math.min(
      LONGEST_BACKOFF_MILLISECONDS,
      FIRST_BACKOFF_MILLISECONDS * 2 ** this.failures,
    );
    this.failures += 1;
    this.nextAt = now + pause * (0.5 + random());
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
    const {nodes} = this;
    const wanted = Math.min(
      LONGEST_GATHER_MILLISECONDS,
      nodes * GATHER_PER_NODE_MILLISECONDS,
    );
    return Math.max(least, wanted, nodes * RATE_GATHER_PER_NODE_MILLISECONDS);
  }
}

/** Random, so that nodes that started together soon read at different times. */
function waitFor(
  stream: RecordStream,
  random: RandomSource,
  nodes: number,
): number {
  const longest = Math.max(
    LONGEST_WAIT_MILLISECONDS[stream],
    nodes * LONGEST_WAIT_PER_NODE_MILLISECONDS,
  );
  const wait = Math.min(
    longest,
    MOST_WAIT_MILLISECONDS,
    Math.max(SHORTEST_WAIT_MILLISECONDS, nodes * WAIT_PER_NODE_MILLISECONDS),
  );
  return Math.round(wait * (0.5 + random() / 2));
}
