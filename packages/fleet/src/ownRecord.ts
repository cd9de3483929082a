// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The record of this box in the store. */

import {
  RECORD_RENEWAL_MILLISECONDS,
  hasSameContent,
  serializeBoxRecord,
} from './boxRecord.js';
import type {BoxRecord} from './boxRecord.js';
import type {NodeIdentity} from './nodeIdentity.js';
import type {QuarantineLift, RunReport} from '@lockpin/quarantine';
import type {Era} from '@lockpin/types';
import type {OwnUpstream} from './ownUpstream.js';
import type {StoreResult, StoredRecord} from './recordStore.js';

/** Delay before a failed write of the own record is retried. */
const WRITE_RETRY_MILLISECONDS = 400;

/** Both readers of a data centre report the same record within this time. */
const DUPLICATE_REPORT_MILLISECONDS = 5000;

/**
 * Upstreams announce themselves every second or two; three announcements may be
 * lost.
 */
const UPSTREAM_TIMEOUT_MILLISECONDS = 6000;

/** Decides what the own record contains and when it is written. */
export class OwnRecord {
  /** The record as it should be; undefined before the first announcement. */
  private desired: BoxRecord | undefined;
  /** The record as the store is known to hold it. */
  private stored: BoxRecord | undefined;
  /** Era of the store's answer that `stored` is taken from. */
  private storedEra: Era = 0;
  /** The record that is being written. */
  private writing: BoxRecord | undefined;
  /** The last differing record of this box that a peer reported, and when. */
  private lastPeerReport = {statedAt: 0, at: Number.NEGATIVE_INFINITY};
  private nextWriteAt = 0;
  /** Of an earlier process of this box, as reported by peers. */
  private lastStatedAt = 0;
  private lastWriteFailed = false;
  private startedAt: number | undefined;
  private runs: readonly RunReport[] = [];
  private lifts: readonly QuarantineLift[] = [];
  private left: readonly string[] = [];
  /** Whether the upstream takes work, if nodes can reach this box. */
  private upstreamTakesWork = false;
  private isReachable = true;

  constructor(
    private readonly identity: NodeIdentity,
    /** Called with each new version of the record, before it is written. */
    private readonly onUpdated: (record: BoxRecord) => void,
  ) {}

  /**
   * The newest version of the record; undefined before the first announcement.
   */
  get latest(): BoxRecord | undefined {
    return this.desired;
  }

  /** The newest version of the record unless the store already holds it. */
  get unsaved(): BoxRecord | undefined {
    const {desired, stored} = this;
    return desired === undefined || isStored(desired, stored)
      ? undefined
      : desired;
  }

  /**
   * Whether the store did not take the record; it is sent to peers meanwhile.
   */
  get hasFailedWrite(): boolean {
    return this.lastWriteFailed;
  }

  /** The upstream of this box changed; these processes of it have left. */
  upstreamChanged(
    now: number,
    upstream: OwnUpstream,
    left: readonly string[],
  ): void {
    this.left = left;
    const {service, slots, coldUntil, program} = upstream;
    this.upstreamTakesWork = upstream.takesWork;
    this.publish(Math.max(now, (this.stored?.statedAt ?? 0) + 1), {
      ...this.identity,
      service,
      slots,
      takesWork: this.takesWork,
      coldUntil,
      statedAt: 0,
      ...(program === undefined ? {} : {program}),
    });
  }

  /** The run reports or the lifted quarantines of this box changed. */
  runsChanged(
    now: number,
    runs: readonly RunReport[],
    lifts: readonly QuarantineLift[],
  ): void {
    this.runs = runs;
    this.lifts = lifts;
    if (this.desired !== undefined) {
      this.publish(now, this.desired);
    }
  }

  /** Other nodes can reach this box from now on, or cannot. */
  reachabilityChanged(now: number, isReachable: boolean): void {
    this.isReachable = isReachable;
    const {desired, takesWork} = this;
    if (desired !== undefined && desired.takesWork !== takesWork) {
      this.publish(now, {...desired, takesWork});
    }
  }

  /** The processes of the upstream that have left are these now. */
  leftChanged(now: number, left: readonly string[]): void {
    this.left = left;
    if (this.desired !== undefined) {
      this.publish(now, this.desired);
    }
  }

  /** The store holds something else in place of the record. */
  overwritten(): void {
    this.stored = undefined;
  }

  /**
   * The store has lost the record of this box, or holds an older version, since
   * it was restored. Such a report may arrive late: if the record was written
   * after the restore, it is not lost.
   * @param delay Time until the record is written again, in milliseconds.
   * @returns Whether the record is to be written again.
   */
  lost(now: number, era: Era, delay: number): boolean {
    if (this.stored === undefined || this.storedEra >= era) {
      return false;
    }
    this.stored = undefined;
    this.nextWriteAt = Math.max(this.nextWriteAt, now + delay);
    return true;
  }

  /**
   * A peer reported a record of this box. A matching record does not prove that
   * the store holds it: readers also report what this box sent them.
   */
  peerReported(now: number, record: BoxRecord): void {
    const {desired, lastPeerReport} = this;
    if (desired === undefined) {
      this.lastStatedAt = Math.max(this.lastStatedAt, record.statedAt);
      return;
    }
    const isDuplicate =
      record.statedAt === lastPeerReport.statedAt &&
      now - lastPeerReport.at < DUPLICATE_REPORT_MILLISECONDS;
    if (record.statedAt !== desired.statedAt && !isDuplicate) {
      this.lastPeerReport = {statedAt: record.statedAt, at: now};
      this.storeReported(now, record, this.storedEra);
    }
  }

  /** The store holds this record of this box. */
  storeReported(now: number, record: BoxRecord, era: Era): void {
    this.stored = record;
    this.storedEra = era;
    const {desired} = this;
    // Written by an earlier process of this box, or applied late.
    if (desired !== undefined && record.statedAt > desired.statedAt) {
      this.publish(Math.max(now, record.statedAt + 1), desired);
    }
  }

  /** Updates the record where the passing of time requires it. */
  tick(now: number): void {
    this.startedAt ??= now;
    this.withdrawMissingUpstream(now, this.startedAt);
    this.renew(now);
  }

  /** The write that is due now, if any; the caller performs it. */
  nextWrite(now: number): StoredRecord | undefined {
    const {unsaved} = this;
    const isDue = this.writing === undefined && now >= this.nextWriteAt;
    if (unsaved === undefined || !isDue) {
      return undefined;
    }
    this.writing = unsaved;
    return {key: unsaved.box, value: serializeBoxRecord(unsaved)};
  }

  /** A write has ended; if it failed, later reads show what the store holds. */
  writeEnded(now: number, result: StoreResult<undefined>): void {
    const {writing} = this;
    this.writing = undefined;
    this.lastWriteFailed = !result.ok;
    if (result.ok) {
      this.stored = writing;
      this.storedEra = result.era;
    } else {
      this.nextWriteAt = now + WRITE_RETRY_MILLISECONDS;
    }
  }

  private get takesWork(): boolean {
    return this.upstreamTakesWork && this.isReachable;
  }

  /** Makes a new version of the record, newer than any before. */
  private publish(at: number, record: BoxRecord): void {
    const before = this.desired?.statedAt ?? this.lastStatedAt;
    const statedAt = Math.max(at, before + 1);
    const {runs, lifts, left} = this;
    this.desired = {
      ...record,
      statedAt,
      left: left.length > 0 ? left : undefined,
      runs: runs.length > 0 ? runs : undefined,
      lifts: lifts.length > 0 ? lifts : undefined,
    };
    this.onUpdated(this.desired);
  }

  /**
   * The stored record from before a restart says that the upstream takes work,
   * but no upstream has announced itself since.
   */
  private withdrawMissingUpstream(now: number, startedAt: number): void {
    const {stored, desired} = this;
    if (
      desired === undefined &&
      stored?.takesWork === true &&
      now - startedAt > UPSTREAM_TIMEOUT_MILLISECONDS
    ) {
      this.publish(Math.max(now, stored.statedAt + 1), {
        ...stored,
        ...this.identity,
        takesWork: false,
      });
    }
  }

  private renew(now: number): void {
    const {desired} = this;
    if (
      desired !== undefined &&
      now - desired.statedAt > RECORD_RENEWAL_MILLISECONDS
    ) {
      this.publish(now, desired);
    }
  }
}

/**
 * A restart that changes nothing needs no write, and so causes no reads by
 * others.
 */
function isStored(desired: BoxRecord, stored: BoxRecord | undefined): boolean {
  return (
    stored !== undefined &&
    hasSameContent(desired, stored) &&
    desired.statedAt - stored.statedAt < RECORD_RENEWAL_MILLISECONDS
  );
}
