// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** When to read one stream of the log, and from where. */

import type {RandomSource} from '@lockpin/types';
import type {
  ControlAction,
  LogReadResult,
  StreamName,
} from './controlMessages.js';

/** How often a stream is read. */
export interface ReadingPace {
  /** Reads again at once and lets the log hold the answer. */
  readonly isContinuous: boolean;
  /** Otherwise, milliseconds between reads. */
  readonly interval: number;
}

const LONG_POLL_MILLISECONDS = 10_000;
const FIRST_BACKOFF_MILLISECONDS = 250;
const LONGEST_BACKOFF_MILLISECONDS = 5000;

/** Reads one stream, one read at a time, backing off while the log is away. */
export class StreamReader {
  private isReading = false;
  private nextReadAt = 0;
  private failures = 0;
  private reachedTail = false;
  private from = 0;

  constructor(
    private readonly stream: StreamName,
    /** Offset to read from. */
    private readonly position: () => number,
  ) {}

  /** Whether the end of the stream was seen since this process started. */
  get hasReachedTail(): boolean {
    return this.reachedTail;
  }

  /** Where the read under way, or the last one, began. */
  get readFrom(): number {
    return this.from;
  }

  /** Reads that failed in a row. */
  get failureCount(): number {
    return this.failures;
  }

  /** Another reader has read the stream to its end, up to the present position. */
  readToTailBy(now: number): void {
    this.reachedTail = true;
    this.nextReadAt = now;
  }

  /** Something is expected in the stream: read as soon as possible. */
  hurry(now: number): void {
    this.nextReadAt = Math.min(this.nextReadAt, now);
  }

  tick(now: number, pace: ReadingPace): readonly ControlAction[] {
    if (this.isReading || now < this.nextReadAt) {
      return [];
    }
    this.isReading = true;
    this.from = this.position();
    const wait =
      pace.isContinuous && this.reachedTail ? LONG_POLL_MILLISECONDS : 0;
    return [
      {
        kind: 'read-log',
        stream: this.stream,
        from: this.from,
        waitMilliseconds: wait,
      },
    ];
  }

  /** Notes how a read ended; its records are folded before this is called. */
  ended(
    now: number,
    random: RandomSource,
    result: LogReadResult,
    pace: ReadingPace,
  ): void {
    this.isReading = false;
    if (result.kind === 'unreachable') {
      this.failures += 1;
      this.nextReadAt = now + backoff(this.failures, random);
      return;
    }
    this.failures = 0;
    if (result.kind === 'records' && this.position() >= result.next) {
      this.reachedTail = true;
      this.nextReadAt = pace.isContinuous
        ? now
        : now + pace.interval * (0.5 + random());
    } else {
      this.nextReadAt = now;
    }
  }
}

function backoff(failures: number, random: RandomSource): number {
  const longest = Math.min(
    LONGEST_BACKOFF_MILLISECONDS,
    FIRST_BACKOFF_MILLISECONDS * 2 ** (failures - 1),
  );
  return longest * (0.5 + random() / 2);
}
