// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Recent log records, kept for peers that lack them. */

import type {LogRecord} from '@lockpin/types';

/** Records kept for peers; a peer further behind starts from a snapshot. */
export const BUFFERED_RECORDS = 4000;

/** A bounded buffer of consecutive records that drops the oldest. */
export class RecordBuffer {
  private records: LogRecord<unknown>[] = [];

  /** Starts at the version of a snapshot, or at the beginning of the log. */
  constructor(private first = 0) {}

  add(record: LogRecord<unknown>): void {
    this.records.push(record);
    if (this.records.length > BUFFERED_RECORDS) {
      this.records.splice(0, BUFFERED_RECORDS / 10);
      this.first = this.records[0]?.offset ?? this.first;
    }
  }

  all(): readonly LogRecord<unknown>[] {
    return this.records;
  }

  /** Up to `limit` records from an offset on; undefined once dropped. */
  from(
    offset: number,
    limit: number,
  ): readonly LogRecord<unknown>[] | undefined {
    if (offset < this.first) {
      return undefined;
    }
    const start = offset - this.first;
    return this.records.slice(start, start + limit);
  }
}
