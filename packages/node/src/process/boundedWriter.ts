// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Writes lines to a file descriptor without ever blocking the event loop. */

import {write} from 'node:fs';

/** Bytes that may wait for a slow reader; what comes after them is dropped. */
const MOST_WAITING_BYTES = 256 * 1024;

/** Lines of this time go out in one write, since each write costs a wake-up. */
const GATHER_MILLISECONDS = 40;

/** Counts what was dropped, so that the log can say so itself. */
export interface WriterCounts {
  readonly written: number;
  readonly dropped: number;
}

/** One write at a time, in a thread of the runtime's own pool. */
export class BoundedWriter {
  private waiting: string[] = [];
  private waitingBytes = 0;
  private isWriting = false;
  private timer: NodeJS.Timeout | undefined;
  private written = 0;
  private dropped = 0;

  constructor(private readonly fileDescriptor: number) {}

  get counts(): WriterCounts {
    return {written: this.written, dropped: this.dropped};
  }

  /** Takes a line; false when there is no room for it. */
  writeLine(line: string): boolean {
    if (this.waitingBytes + line.length > MOST_WAITING_BYTES) {
      this.dropped += 1;
      return false;
    }
    this.waiting.push(line);
    this.waitingBytes += line.length;
    this.written += 1;
    this.timer ??= setTimeout(() => this.flush(), GATHER_MILLISECONDS);
    return true;
  }

  /** Writes what waits, as far as that is possible without waiting. */
  flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.isWriting || this.waiting.length === 0) {
      return;
    }
    const bytes = Buffer.from(`${this.waiting.join('\n')}\n`);
    this.waiting = [];
    this.waitingBytes = 0;
    this.isWriting = true;
    this.writeAll(bytes);
  }

  private writeAll(bytes: Buffer): void {
    write(this.fileDescriptor, bytes, (error, count) => {
      if (error === null && count < bytes.length) {
        this.writeAll(bytes.subarray(count));
        return;
      }
      if (error !== null) {
        // The log itself cannot be written; the counter is all that can tell.
        this.dropped += 1;
      }
      this.isWriting = false;
      this.flush();
    });
  }
}
