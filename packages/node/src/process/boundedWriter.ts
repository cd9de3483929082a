// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Writes lines to a file descriptor without blocking the event loop. */

import {createOutput} from './logOutput.js';
import type {Output} from './logOutput.js';

/** Maximum size of the buffer for a slow reader; further lines are dropped. */
const MAXIMUM_BUFFERED_BYTES = 256 * 1024;

/**
 * Lines within this time are written together, since each write wakes a thread.
 */
const BATCH_MILLISECONDS = 40;

/** Lines written and dropped, so that the log can report its own losses. */
export interface WriterCounts {
  readonly written: number;
  readonly dropped: number;
}

/** Writes one batch at a time. */
export class BoundedWriter {
  private pendingLines: string[] = [];
  private pendingBytes = 0;
  private isWriting = false;
  private timer: NodeJS.Timeout | undefined;
  private written = 0;
  private dropped = 0;
  private output: Output | undefined;

  constructor(private readonly fileDescriptor: number) {}

  get counts(): WriterCounts {
    return {written: this.written, dropped: this.dropped};
  }

  /** Buffers a line; returns false if the buffer is full. */
  writeLine(line: string): boolean {
    if (this.pendingBytes + line.length > MAXIMUM_BUFFERED_BYTES) {
      this.dropped += 1;
      return false;
    }
    this.pendingLines.push(line);
    this.pendingBytes += line.length;
    this.written += 1;
    this.timer ??= setTimeout(() => this.flush(), BATCH_MILLISECONDS);
    return true;
  }

  /** Starts to write the buffered lines unless a write is in progress. */
  flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.isWriting || this.pendingLines.length === 0) {
      return;
    }
    const bytes = Buffer.from(`${this.pendingLines.join('\n')}\n`);
    this.pendingLines = [];
    this.pendingBytes = 0;
    this.isWriting = true;
    this.writeAll(bytes);
  }

  /**
   * Starts to write all buffered lines, for a process that is about to exit: what
   * the output takes now is written even if no more events are handled.
   */
  startLastWrite(): void {
    this.isWriting = false;
    this.flush();
  }

  private writeAll(bytes: Buffer): void {
    this.output ??= createOutput(this.fileDescriptor);
    this.output(bytes, (error) => {
      if (error !== null) {
        // The log itself cannot be written; only this counter shows it.
        this.dropped += 1;
      }
      this.isWriting = false;
      this.flush();
    });
  }
}
