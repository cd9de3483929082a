// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Records of boxes that the store had and has no more, or only as they were: it was
 * restored to an earlier state. Whoever reads all records sees what is missing. The boxes
 * write their own again. What a promise hangs on is written for boxes that do not.
 */

import type {BoxDirectory} from './boxDirectory.js';
import {RECORD_LIFE_MILLISECONDS, tellsOfRuns} from './boxRecord.js';
import type {BoxRecord} from './boxRecord.js';

/** What was written while all records were read is read on by then. */
const CERTAIN_MILLISECONDS = 1000;

/** What a box told past the store is read there by then. */
const LEARNT_MILLISECONDS = 6000;

/** A box that lives has written its record again by then. */
const DEAD_MILLISECONDS = 10_000;

interface LostRecord {
  readonly statedAt: number;
  isTold: boolean;
  /** When it is to be told of, or written for the box. */
  dueAt: number;
}

/** Kept by each node that reads the store; one of them acts for dead boxes. */
export class LostRecords {
  private readonly lost = new Map<string, LostRecord>();
  /** When the records that the store has were stated; undefined before all were read. */
  private stored: Map<string, number> | undefined;

  constructor(private readonly directory: BoxDirectory) {}

  /** All records that the store has, as they can be read. */
  readAll(now: number, records: readonly BoxRecord[]): void {
    this.stored = new Map(records.map(({box, statedAt}) => [box, statedAt]));
    this.lost.clear();
    for (const record of this.directory.all()) {
      this.compare(now + CERTAIN_MILLISECONDS, record);
    }
  }

  /** A box stated this, as far as a peer has told. */
  learnt(now: number, record: BoxRecord): void {
    this.compare(now + LEARNT_MILLISECONDS, record);
  }

  /** The store has this record. */
  found({box, statedAt}: BoxRecord): void {
    this.stored?.set(box, statedAt);
    const lost = this.lost.get(box);
    if (lost !== undefined && statedAt >= lost.statedAt) {
      this.lost.delete(box);
    }
  }

  /** Boxes that are to be told now that their records are lost; each once. */
  toTell(now: number): readonly string[] {
    const due = [...this.lost].filter(
      ([, lost]) => !lost.isTold && now >= lost.dueAt,
    );
    for (const [, lost] of due) {
      lost.isTold = true;
      lost.dueAt = now + DEAD_MILLISECONDS;
    }
    return due.map(([box]) => box);
  }

  /** Records that are to be written now in place of boxes that did not. */
  toWrite(now: number): readonly BoxRecord[] {
    const due = [...this.lost].filter(
      ([, lost]) => lost.isTold && now >= lost.dueAt,
    );
    return due.flatMap(([box, lost]) => {
      lost.dueAt = now + DEAD_MILLISECONDS;
      const record = this.directory.get(box);
      if (record !== undefined && tellsOfRuns(record)) {
        return [record];
      }
      this.lost.delete(box);
      return [];
    });
  }

  private compare(dueAt: number, {box, statedAt}: BoxRecord): void {
    const {stored} = this;
    if (stored !== undefined && statedAt > (stored.get(box) ?? 0)) {
      this.lost.set(box, {statedAt, isTold: false, dueAt});
    }
  }
}

/** Whether a record is of a box that was forgotten; the store may bring it back. */
export function isForgotten(now: number, {statedAt}: BoxRecord): boolean {
  return now - statedAt > RECORD_LIFE_MILLISECONDS;
}
