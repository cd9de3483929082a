// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a fleet needs of the place that keeps its records. */

import type {Era, StreamPosition} from '@lockpin/types';

/** The records that operators write, and those that boxes write. */
export const RECORD_STREAMS = ['configuration', 'boxes'] as const;

/** One of them. */
export type RecordStream = (typeof RECORD_STREAMS)[number];

/** A record under a key; without a value, the key was removed. */
export interface StoredRecord {
  readonly key: string;
  readonly value: Buffer | undefined;
}

/** Records of a stream, in order. */
export interface RecordPage {
  readonly records: readonly StoredRecord[];
  /** After the last of all records. */
  readonly end: StreamPosition;
  /** These are the newest of all keys: what is not among them, the store does not have. */
  readonly isWhole: boolean;
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
  | {readonly ok: true; readonly value: T; readonly era: Era}
  | {
      readonly ok: false;
      readonly failure: StoreFailure;
      /** Undefined where no answer came, or where it does not say. */
      readonly era: Era | undefined;
    };

/** The store; each function makes one call and decides nothing. */
export interface RecordStore {
  /** The newest record of each key. */
  readonly readNewest: (
    stream: RecordStream,
  ) => Promise<StoreResult<RecordPage>>;
  /** Records from a position on; waits for one up to a time. */
  readonly follow: (
    stream: RecordStream,
    from: StreamPosition,
    waitMilliseconds: number,
  ) => Promise<StoreResult<RecordPage>>;
  readonly write: (
    stream: RecordStream,
    record: StoredRecord,
  ) => Promise<StoreResult<undefined>>;
}
