// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Tracks box records that the store lost, or holds only in an older version,
 * because it was restored to an earlier state. Any node that reads a full
 * snapshot sees what is missing. Boxes write their own records again; records
 * that quarantines rely on are written on behalf of boxes that do not.
 */

import type {BoxDirectory} from './boxDirectory.js';
import {RECORD_EXPIRY_MILLISECONDS, hasQuarantineData} from './boxRecord.js';
import type {BoxRecord} from './boxRecord.js';

/**
 * Writes made during the snapshot read have been read from the stream by then.
 */
const SNAPSHOT_SETTLE_MILLISECONDS = 1000;

/**
 * A record that a box sent past the store has been read from the store by then.
 */
const PEER_REPORT_SETTLE_MILLISECONDS = 6000;

/** A live box has written its record again by then. */
const REWRITE_TIMEOUT_MILLISECONDS = 10_000;

interface LostRecord {
  readonly statedAt: number;
  isNotified: boolean;
  /** When to notify the box, or to write on its behalf. */
  dueAt: number;
}

/**
 * Kept by each node that reads the store; one of them acts for departed boxes.
 */
export class LostRecords {
  private readonly lost = new Map<string, LostRecord>();
  /**
   * statedAt of the stored records, by box; undefined before the first
   * snapshot.
   */
  private stored: Map<string, number> | undefined;

  constructor(private readonly directory: BoxDirectory) {}

  /** Compares a full snapshot of the store with the known records. */
  snapshotRead(now: number, records: readonly BoxRecord[]): void {
    this.stored = new Map(records.map(({box, statedAt}) => [box, statedAt]));
    this.lost.clear();
    for (const record of this.directory.all()) {
      this.compare(now + SNAPSHOT_SETTLE_MILLISECONDS, record);
    }
  }

  /** A peer reported a record of a box. */
  peerReported(now: number, record: BoxRecord): void {
    this.compare(now + PEER_REPORT_SETTLE_MILLISECONDS, record);
  }

  /** The store holds this record. */
  storeReported({box, statedAt}: BoxRecord): void {
    this.stored?.set(box, statedAt);
    const lost = this.lost.get(box);
    if (lost !== undefined && statedAt >= lost.statedAt) {
      this.lost.delete(box);
    }
  }

  /** Boxes to notify now that their records are lost; each is returned once. */
  toNotify(now: number): readonly string[] {
    const due = [...this.lost].filter(
      ([, lost]) => !lost.isNotified && now >= lost.dueAt,
    );
    for (const [, lost] of due) {
      lost.isNotified = true;
      lost.dueAt = now + REWRITE_TIMEOUT_MILLISECONDS;
    }
    return due.map(([box]) => box);
  }

  /** Records to write now on behalf of boxes that did not. */
  toRewrite(now: number): readonly BoxRecord[] {
    const due = [...this.lost].filter(
      ([, lost]) => lost.isNotified && now >= lost.dueAt,
    );
    return due.flatMap(([box, lost]) => {
      lost.dueAt = now + REWRITE_TIMEOUT_MILLISECONDS;
      const record = this.directory.get(box);
      if (record !== undefined && hasQuarantineData(record)) {
        return [record];
      }
      this.lost.delete(box);
      return [];
    });
  }

  private compare(dueAt: number, {box, statedAt}: BoxRecord): void {
    const {stored} = this;
    if (stored !== undefined && statedAt > (stored.get(box) ?? 0)) {
      this.lost.set(box, {statedAt, isNotified: false, dueAt});
    }
  }
}

/**
 * Whether a record belongs to an expired box; a restored store may return such
 * records.
 */
export function isExpired(now: number, {statedAt}: BoxRecord): boolean {
  return now - statedAt > RECORD_EXPIRY_MILLISECONDS;
}
