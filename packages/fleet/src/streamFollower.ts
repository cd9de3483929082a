// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Schedules the reads of one stream of the store. */

import type {RandomSource, StreamPosition} from '@lockpin/types';
import {pollWait} from './pollPhase.js';
import type {PollPhase} from './pollPhase.js';
import type {RecordPage, RecordStream, StoreResult} from './recordStore.js';

/** A read that is to be started now. */
export type StreamRead =
  | {
      readonly kind: 'read-newest';
      readonly stream: RecordStream;
      readonly read: number;
    }
  | {
      readonly kind: 'follow';
      readonly stream: RecordStream;
      /** Identifies the reads of a node; later ones have higher numbers. */
      readonly read: number;
      readonly from: StreamPosition;
      readonly waitMilliseconds: number;
    };

/** The result of a read. */
export interface ReadEnd {
  readonly read: number;
  readonly result: StoreResult<RecordPage>;
}

/** A read that was not answered in time. */
export interface TimedOutRead {
  readonly milliseconds: number;
  /** How long it was to wait for records. */
  readonly waitMilliseconds: number;
}

/** First delay after a failed read; doubled after each further one. */
const FIRST_BACKOFF_MILLISECONDS = 150;

/** Records must be up to date within two seconds after the store is back. */
const MAXIMUM_BACKOFF_MILLISECONDS = 1000;

/**
 * Changes tend to come in series. Pausing before the next read batches them
 * into one answer, since every call to the store has a cost.
 */
const BATCH_MILLISECONDS: Readonly<Record<RecordStream, number>> = {
  configuration: 150,
  boxes: 1000,
};

/**
 * In a larger fleet boxes change more often, and each change wakes every node:
 * reads caused by changes would grow with the square of the number of nodes.
 */
const BATCH_PER_NODE_MILLISECONDS = 50;

/** A new box is to receive work within a few seconds in a fleet of any size. */
const MAXIMUM_BATCH_MILLISECONDS = 5000;

/** In a very large fleet the rate of reads takes precedence over that limit. */
const MINIMUM_BATCH_PER_NODE_MILLISECONDS = 2;

/** An answer that exceeds the wait by more than this may never arrive. */
const MINIMUM_TIMEOUT_MILLISECONDS = 500;

/** Upper bound of the timeout, however slow the store's answers were. */
const MAXIMUM_TIMEOUT_MILLISECONDS = 2000;

/**
 * Maximum time from the start of a read until it times out, at a node that no
 * other reader notifies.
 */
const MAXIMUM_LONE_READ_MILLISECONDS = 2500;

/** Timeout of a read of several pages, each as long as an answer. */
const PAGED_TIMEOUT_MILLISECONDS = 2500;

/** Answers may take this many times as long as the last one. */
const TIMEOUT_FACTOR = 2;

/**
 * While reads hang, a new one is started this often: a read sent during an
 * outage is never answered, and only one that starts afterwards shows that it
 * is over.
 */
const PROBE_INTERVAL_MILLISECONDS = 1000;

/** Time within which a pending read should deliver what a peer already has. */
const UPDATE_GRACE_MILLISECONDS = 150;

/** Time within which a peer that has an update should deliver it. */
const PEER_UPDATE_GRACE_MILLISECONDS = 1000;

/** Start of a history from which nothing was ever removed. */
const HISTORY_START: StreamPosition = {era: 0, offset: 0};

/** What the first read of a stream requests. */
export type InitialRead =
  | {readonly kind: 'newest'}
  /** The complete history, at some time after the process started. */
  | {readonly kind: 'full-history'; readonly afterMilliseconds: number};

/** A read that was started and may still be answered. */
interface PendingRead {
  readonly read: number;
  readonly startedAt: number;
  readonly waitMilliseconds: number;
}

/** Waits for one read at a time and pauses after updates and failures. */
export class StreamFollower {
  private from: StreamPosition | undefined;
  /** The newest read, until it times out. */
  private current: PendingRead | undefined;
  /** All reads that have not ended; a late answer is still used. */
  private readonly pending = new Map<number, PendingRead>();
  private lastRead = 0;
  private hasSucceeded = false;
  /** Undefined until the first call of due. */
  private nextReadAt: number | undefined;
  private failures = 0;
  /** The last read of following records found them compacted. */
  private isHistoryLost = false;
  private timeout = MINIMUM_TIMEOUT_MILLISECONDS;
  /**
   * When a peer first reported something that the store has not delivered yet.
   */
  private updateExpectedSince: number | undefined;
  /** The readers that the newest read relies on, this node included. */
  private readers = 1;

  constructor(
    private readonly stream: RecordStream,
    private readonly initialRead: InitialRead = {kind: 'newest'},
    /** Maximum wait of a read for records, in milliseconds. */
    private readonly maximumReadMilliseconds = Number.POSITIVE_INFINITY,
  ) {
    this.from = initialRead.kind === 'full-history' ? HISTORY_START : undefined;
  }

  /** Number of consecutive failed reads. */
  get failureCount(): number {
    return this.failures;
  }

  /** Whether a read of the stream has ever succeeded. */
  get hasRead(): boolean {
    return this.hasSucceeded;
  }

  /**
   * The store was restored. Pending reads may skip records written since,
   * because their offsets are reused, so everything is read again at once.
   */
  restored(now: number): void {
    this.from = undefined;
    this.current = undefined;
    this.nextReadAt = this.nextReadAt === undefined ? undefined : now;
  }

  /** A peer has something that this stream should have delivered. */
  expectUpdate(now: number): void {
    this.updateExpectedSince ??= now;
  }

  /** The expected update arrived, from whichever source. */
  updateReceived(): void {
    this.updateExpectedSince = undefined;
  }

  /**
   * Whether to read though others read for this node, because what a peer has
   * did not arrive from it. A read that found the history lost is continued.
   */
  isReadNeeded(now: number): boolean {
    return (
      this.isHistoryLost ||
      this.isUpdateOlderThan(now, PEER_UPDATE_GRACE_MILLISECONDS)
    );
  }

  /** Stops waiting for an overdue read; reports each one once. */
  timeOutOverdue(now: number): TimedOutRead | undefined {
    const {current} = this;
    if (current === undefined || now < this.deadlineOf(current)) {
      return undefined;
    }
    this.current = undefined;
    this.failures += 1;
    this.nextReadAt = Math.max(
      now,
      current.startedAt + PROBE_INTERVAL_MILLISECONDS,
    );
    const {startedAt, waitMilliseconds} = current;
    return {milliseconds: Math.round(now - startedAt), waitMilliseconds};
  }

  /** The read that is due now, if any. */
  due(now: number, pollPhase: PollPhase): StreamRead | undefined {
    this.nextReadAt ??= now + this.firstDelay;
    const isInDoubt =
      this.isUpdateOverdue(now) || this.hasLostReaders(pollPhase);
    if (!isInDoubt && (this.current !== undefined || now < this.nextReadAt)) {
      return undefined;
    }
    const isUpdateMissing = isInDoubt || this.isReadNeeded(now);
    if (isUpdateMissing) {
      this.updateExpectedSince = undefined;
    }
    return this.begin(now, pollPhase, isUpdateMissing || this.failures > 0);
  }

  /** Handles the end of a read. */
  ended(now: number, random: RandomSource, {read, result}: ReadEnd): void {
    const pending = this.pending.get(read);
    this.pending.delete(read);
    if (result.ok) {
      this.handleAnswer(now, pending, result.value);
    }
    if (pending === undefined || pending !== this.current) {
      return;
    }
    this.current = undefined;
    if (result.ok) {
      this.continueFrom(now, result.value);
    } else if (result.failure.kind === 'history-gone') {
      this.restart(now);
    } else {
      this.backOff(now, random);
    }
  }

  /**
   * Whether the pending read has not delivered what a peer has had for a while.
   */
  private isUpdateOverdue(now: number): boolean {
    const {current, updateExpectedSince} = this;
    return (
      current !== undefined &&
      current.startedAt < (updateExpectedSince ?? 0) &&
      this.isUpdateOlderThan(now, UPDATE_GRACE_MILLISECONDS)
    );
  }

  /** Whether a peer has had something for this long that is missing here. */
  private isUpdateOlderThan(now: number, milliseconds: number): boolean {
    const {updateExpectedSince} = this;
    return (
      updateExpectedSince !== undefined &&
      now - updateExpectedSince >= milliseconds
    );
  }

  /**
   * Whether the pending read relies on readers that are not heard any more. If
   * it hangs, they cannot report a change to this node.
   */
  private hasLostReaders({readers}: PollPhase): boolean {
    return this.current !== undefined && readers < this.readers;
  }

  private begin(
    now: number,
    pollPhase: PollPhase,
    isProbe: boolean,
  ): StreamRead {
    const {stream, from} = this;
    this.readers = pollPhase.readers;
    this.lastRead += 1;
    const read = this.lastRead;
    const waitMilliseconds =
      from === undefined || isProbe
        ? 0
        : pollWait(now, stream, pollPhase, this.maximumWait(pollPhase));
    this.current = {read, startedAt: now, waitMilliseconds};
    this.pending.set(read, this.current);
    return from === undefined
      ? {kind: 'read-newest', stream, read}
      : {kind: 'follow', stream, read, from, waitMilliseconds};
  }

  private maximumWait({readers}: PollPhase): number {
    const maximum = this.maximumReadMilliseconds;
    return readers > 1
      ? maximum
      : Math.min(maximum, MAXIMUM_LONE_READ_MILLISECONDS - this.timeout);
  }

  /** The store answered, possibly to a read that had timed out. */
  private handleAnswer(
    now: number,
    pending: PendingRead | undefined,
    {records}: RecordPage,
  ): void {
    this.failures = 0;
    this.hasSucceeded = true;
    if (pending !== undefined && records.length === 0) {
      const latency = now - pending.startedAt - pending.waitMilliseconds;
      this.timeout = Math.min(
        MAXIMUM_TIMEOUT_MILLISECONDS,
        Math.max(MINIMUM_TIMEOUT_MILLISECONDS, latency * TIMEOUT_FACTOR),
      );
    }
  }

  private continueFrom(now: number, {records, end}: RecordPage): void {
    // Only following records show that the history is available again.
    this.isHistoryLost &&= this.from === undefined;
    this.from = end;
    this.nextReadAt = records.length > 0 ? now + this.batchDelay() : now;
  }

  /**
   * Reads at once the first time; if the history is still missing, it backs
   * off.
   */
  private restart(now: number): void {
    this.nextReadAt = this.isHistoryLost
      ? now + FIRST_BACKOFF_MILLISECONDS
      : now;
    this.isHistoryLost = true;
    this.from = undefined;
  }

  private backOff(now: number, random: RandomSource): void {
    const backoff = Math.min(
      MAXIMUM_BACKOFF_MILLISECONDS,
      FIRST_BACKOFF_MILLISECONDS * 2 ** this.failures,
    );
    this.failures += 1;
    this.nextReadAt = now + backoff * (0.5 + random());
  }

  /**
   * A read of all boxes takes several pages, each of which may take as long as
   * an answer.
   */
  private deadlineOf({startedAt, waitMilliseconds}: PendingRead): number {
    const isPaged = this.from === undefined && this.stream === 'boxes';
    const timeout = isPaged ? PAGED_TIMEOUT_MILLISECONDS : this.timeout;
    return startedAt + waitMilliseconds + timeout;
  }

  private get firstDelay(): number {
    const {initialRead} = this;
    return initialRead.kind === 'newest' ? 0 : initialRead.afterMilliseconds;
  }

  /** The pause after records arrived. */
  private batchDelay(): number {
    const minimum = BATCH_MILLISECONDS[this.stream];
    if (this.stream !== 'boxes') {
      return minimum;
    }
    const {readers} = this;
    const scaled = Math.min(
      MAXIMUM_BATCH_MILLISECONDS,
      readers * BATCH_PER_NODE_MILLISECONDS,
    );
    return Math.max(
      minimum,
      scaled,
      readers * MINIMUM_BATCH_PER_NODE_MILLISECONDS,
    );
  }
}
