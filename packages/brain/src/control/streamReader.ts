// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Schedules the reads of one log stream and tracks its end. */

import type {RandomSource} from '@lockpin/types';
import type {
  ControlAction,
  LogReadResult,
  StreamName,
} from './controlMessages.js';

/** How often a stream is read. */
export interface ReadSchedule {
  /** Reads again immediately, with long polling. */
  readonly isContinuous: boolean;
  /** Otherwise, milliseconds between reads. */
  readonly interval: number;
}

const LONG_POLL_MILLISECONDS = 10_000;
const INITIAL_BACKOFF_MILLISECONDS = 250;
const MAX_BACKOFF_MILLISECONDS = 5000;

/** Reads one stream, one read at a time; backs off after failed reads. */
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

  /** Whether the end of the stream was reached since this process started. */
  get hasReachedTail(): boolean {
    return this.reachedTail;
  }

  /** Offset from which the current or last read started. */
  get readFrom(): number {
    return this.from;
  }

  /** Number of consecutive failed reads. */
  get failureCount(): number {
    return this.failures;
  }

  /** Marks the stream as read to its end by another reader. */
  markReadToTail(now: number): void {
    this.reachedTail = true;
    this.nextReadAt = now;
  }

  /** Reads as soon as possible, because a record is expected. */
  readSoon(now: number): void {
    this.nextReadAt = Math.min(this.nextReadAt, now);
  }

  tick(now: number, schedule: ReadSchedule): readonly ControlAction[] {
    if (this.isReading || now < this.nextReadAt) {
      return [];
    }
    this.isReading = true;
    this.from = this.position();
    const wait =
      schedule.isContinuous && this.reachedTail ? LONG_POLL_MILLISECONDS : 0;
    return [
      {
        kind: 'read-log',
        stream: this.stream,
        from: this.from,
        waitMilliseconds: wait,
      },
    ];
  }

  /** Records the result of a read, after its records were folded. */
  readEnded(
    now: number,
    random: RandomSource,
    result: LogReadResult,
    schedule: ReadSchedule,
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
      this.nextReadAt = schedule.isContinuous
        ? now
        : now + schedule.interval * (0.5 + random());
    } else {
      this.nextReadAt = now;
    }
  }
}

function backoff(failures: number, random: RandomSource): number {
  const limit = Math.min(
    MAX_BACKOFF_MILLISECONDS,
    INITIAL_BACKOFF_MILLISECONDS * 2 ** (failures - 1),
  );
  return limit * (0.5 + random() / 2);
}
