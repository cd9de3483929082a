// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The latest records of the log, to pass on to peers that lack them. */

import type {LogRecord} from '@lockpin/types';

/** Records kept for peers; a peer further behind starts from a snapshot. */
export const BUFFERED_RECORDS = 4000;

/** A run of consecutive records that forgets its oldest. */
export class RecordBuffer {
  private records: LogRecord<unknown>[] = [];

  /** Starts after a state that came from a snapshot. */
  constructor(private first = 0) {}

  /** Adds the next record. */
  add(record: LogRecord<unknown>): void {
    this.records.push(record);
    if (this.records.length > BUFFERED_RECORDS) {
      this.records.splice(0, BUFFERED_RECORDS / 10);
      this.first = this.records[0]?.offset ?? this.first;
    }
  }

  /** All that are kept. */
  all(): readonly LogRecord<unknown>[] {
    return this.records;
  }

  /** Up to a number of records from an offset on; undefined when forgotten. */
  from(
    offset: number,
    most: number,
  ): readonly LogRecord<unknown>[] | undefined {
    if (offset < this.first) {
      return undefined;
    }
    const start = offset - this.first;
    return this.records.slice(start, start + most);
  }
}
