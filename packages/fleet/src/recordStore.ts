// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Interface of the store that holds a fleet's records. */

import type {Era, StreamPosition} from '@lockpin/types';

/** The records written by operators and those written by boxes. */
export const RECORD_STREAMS = ['configuration', 'boxes'] as const;

/** Name of a stream. */
export type RecordStream = (typeof RECORD_STREAMS)[number];

/** A record under a key; without a value, the key was deleted. */
export interface StoredRecord {
  readonly key: string;
  readonly value: Buffer | undefined;
}

/** Consecutive records of a stream. */
export interface RecordPage {
  readonly records: readonly StoredRecord[];
  /** Position after the last record. */
  readonly end: StreamPosition;
  /**
   * The page holds the newest record of every key; keys not in it do not exist.
   */
  readonly isWhole: boolean;
}

/** Why a call to the store failed. */
export type StoreFailure =
  /** No effect: the store is down, busy or unreachable. */
  | {readonly kind: 'unavailable'; readonly detail: string}
  /** No answer arrived; a write may have been applied, or may still be. */
  | {readonly kind: 'outcome-unknown'; readonly detail: string}
  /** The requested records were compacted: read the newest of each key. */
  | {readonly kind: 'history-gone'; readonly detail: string}
  /** This release does not understand the answer. */
  | {readonly kind: 'unexpected'; readonly detail: string};

/** Result of a call to the store. */
export type StoreResult<T> =
  | {readonly ok: true; readonly value: T; readonly era: Era}
  | {
      readonly ok: false;
      readonly failure: StoreFailure;
      /** Undefined if no answer arrived or it carries no era. */
      readonly era: Era | undefined;
    };

/** The store; each function makes a single call without retries. */
export interface RecordStore {
  /** The newest record of each key. */
  readonly readNewest: (
    stream: RecordStream,
  ) => Promise<StoreResult<RecordPage>>;
  /** Records from a position on; waits up to a limit if there are none. */
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
