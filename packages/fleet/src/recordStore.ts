// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a fleet needs of the place that keeps its records. */

/** The records that operators write, and those that boxes write. */
export const RECORD_STREAMS = ['configuration', 'boxes'] as const;

/** One of them. */
export type RecordStream = (typeof RECORD_STREAMS)[number];

/** A record under a key; without a value, the key was removed. */
export interface StoredRecord {
  readonly key: string;
  readonly value: Buffer | undefined;
}

/** Records of a stream, in order, and the offset after the last of all. */
export interface RecordPage {
  readonly records: readonly StoredRecord[];
  readonly end: number;
}

/** Why a call to the store failed. */
export type StoreFailure =
  /** Nothing was done: it is down, busy or cannot be reached. */
  | {readonly kind: 'unavailable'; readonly detail: string}
  /** No answer came; a write may have been done, or may be done later. */
  | {readonly kind: 'outcome-unknown'; readonly detail: string}
  /** The records asked for are no longer kept: read the newest of each key. */
  | {readonly kind: 'history-gone'; readonly detail: string}
  /** The answer is none that this release understands. */
  | {readonly kind: 'unexpected'; readonly detail: string};

/** A result of the store. */
export type StoreResult<T> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly failure: StoreFailure};

/** The store; each function makes one call and decides nothing. */
export interface RecordStore {
  /** The newest record of each key. */
  readonly readNewest: (
    stream: RecordStream,
  ) => Promise<StoreResult<RecordPage>>;
  /** Records from an offset on; waits for one up to a time. */
  readonly follow: (
    stream: RecordStream,
    from: number,
    waitMilliseconds: number,
  ) => Promise<StoreResult<RecordPage>>;
  readonly write: (
    stream: RecordStream,
    record: StoredRecord,
  ) => Promise<StoreResult<undefined>>;
}
