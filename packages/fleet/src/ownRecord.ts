// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The record that this box keeps of itself in the store. */

import {
  RECORD_RENEWAL_MILLISECONDS,
  isSameStatement,
  writeBoxRecord,
} from './boxRecord.js';
import type {BoxRecord} from './boxRecord.js';
import type {NodeIdentity} from './nodeIdentity.js';
import type {QuarantineLift, RunReport} from '@lockpin/quarantine';
import type {Era} from '@lockpin/types';
import type {OwnUpstream} from './ownUpstream.js';
import type {StoreResult, StoredRecord} from './recordStore.js';

/** Time before a failed write of the own record is tried again. */
const WRITE_PAUSE_MILLISECONDS = 400;

/** Both readers of a data centre tell of the same statement within this time. */
const SAME_NEWS_MILLISECONDS = 5000;

/** Upstreams announce themselves every second or two; three may be lost. */
const UPSTREAM_PATIENCE_MILLISECONDS = 6000;

/** Decides what this box states of itself, and when that is written. */
export class OwnRecord {
  /** As it should be; undefined before the upstream spoke. */
  private desired: BoxRecord | undefined;
  /** As the store is known to have it. */
  private stored: BoxRecord | undefined;
  /** Of the answer that said so. */
  private storedIn: Era = 0;
  /** What is being written now. */
  private writing: BoxRecord | undefined;
  /** Another statement of this box that a peer had, and when it told so. */
  private toldBefore = {statedAt: 0, at: Number.NEGATIVE_INFINITY};
  private writeAfter = 0;
  /** Of an earlier process of this box, as far as peers told. */
  private lastStatedAt = 0;
  private hasFailed = false;
  private startedAt: number | undefined;
  private runs: readonly RunReport[] = [];
  private lifts: readonly QuarantineLift[] = [];

  constructor(
    private readonly identity: NodeIdentity,
    /** Told of each statement, before it is written. */
    private readonly onStated: (record: BoxRecord) => void,
  ) {}

  /** What this box states of itself; undefined before the upstream spoke. */
  get statement(): BoxRecord | undefined {
    return this.desired;
  }

  /** The store did not take what this box states: peers are to hear it meanwhile. */
  get isHeldUp(): boolean {
    return this.hasFailed;
  }

  /** The upstream beside this node said something new. */
  upstreamChanged(now: number, upstream: OwnUpstream): void {
    const {service, slots, takesWork, coldUntil, program} = upstream;
    this.state(Math.max(now, (this.stored?.statedAt ?? 0) + 1), {
      ...this.identity,
      service,
      slots,
      takesWork,
      coldUntil,
      statedAt: 0,
      ...(program === undefined ? {} : {program}),
    });
  }

  /** There is more to tell of runs of suspect requests, or of lifted quarantines. */
  runsChanged(
    now: number,
    runs: readonly RunReport[],
    lifts: readonly QuarantineLift[],
  ): void {
    this.runs = runs;
    this.lifts = lifts;
    if (this.desired !== undefined) {
      this.state(now, this.desired);
    }
  }

  /** Something else stands in its place in the store. */
  overwritten(): void {
    this.stored = undefined;
  }

  /**
   * Of this box the store has nothing any more, or an older statement, since it was
   * restored. Others may say so late: what was written since the restore is there.
   * @param pause Time until it is written again, in milliseconds.
   * @returns Whether it is to be written again.
   */
  lost(now: number, era: Era, pause: number): boolean {
    if (this.stored === undefined || this.storedIn >= era) {
      return false;
    }
    this.stored = undefined;
    this.writeAfter = Math.max(this.writeAfter, now + pause);
    return true;
  }

  /**
   * A peer has this record of the own box. The same statement proves nothing: readers tell
   * what they heard from this box as well as what the store has.
   */
  toldOf(now: number, record: BoxRecord): void {
    const {desired, toldBefore} = this;
    if (desired === undefined) {
      this.lastStatedAt = Math.max(this.lastStatedAt, record.statedAt);
      return;
    }
    const isKnown =
      record.statedAt === toldBefore.statedAt &&
      now - toldBefore.at < SAME_NEWS_MILLISECONDS;
    if (record.statedAt !== desired.statedAt && !isKnown) {
      this.toldBefore = {statedAt: record.statedAt, at: now};
      this.found(now, record, this.storedIn);
    }
  }

  /** The store has this record of the own box. */
  found(now: number, record: BoxRecord, era: Era): void {
    this.stored = record;
    this.storedIn = era;
    const {desired} = this;
    // A write of an earlier process of this box, or one done late.
    if (desired !== undefined && record.statedAt > desired.statedAt) {
      this.state(Math.max(now, record.statedAt + 1), desired);
    }
  }

  /** States anew what time alone makes necessary. */
  tick(now: number): void {
    this.startedAt ??= now;
    this.noteMissingUpstream(now, this.startedAt);
    this.renew(now);
  }

  /** What is to be written now, if anything; the caller writes it. */
  nextWrite(now: number): StoredRecord | undefined {
    const {desired, stored} = this;
    const isDue = this.writing === undefined && now >= this.writeAfter;
    if (desired === undefined || !isDue || isStored(desired, stored)) {
      return undefined;
    }
    this.writing = desired;
    return {key: desired.box, value: writeBoxRecord(desired)};
  }

  /** A write has ended; what the store has shows when records are read on. */
  writeEnded(now: number, result: StoreResult<undefined>): void {
    const {writing} = this;
    this.writing = undefined;
    this.hasFailed = !result.ok;
    if (result.ok) {
      this.stored = writing;
      this.storedIn = result.era;
    } else {
      this.writeAfter = now + WRITE_PAUSE_MILLISECONDS;
    }
  }

  /** Makes a statement, later than any before. */
  private state(at: number, record: BoxRecord): void {
    const before = this.desired?.statedAt ?? this.lastStatedAt;
    const statedAt = Math.max(at, before + 1);
    const {runs, lifts} = this;
    this.desired = {
      ...record,
      statedAt,
      runs: runs.length > 0 ? runs : undefined,
      lifts: lifts.length > 0 ? lifts : undefined,
    };
    this.onStated(this.desired);
  }

  /**
   * The store says of this box that its upstream takes work, from before a
   * restart, but no upstream has announced itself since.
   */
  private noteMissingUpstream(now: number, startedAt: number): void {
    const {stored, desired} = this;
    if (
      desired === undefined &&
      stored?.takesWork === true &&
      now - startedAt > UPSTREAM_PATIENCE_MILLISECONDS
    ) {
      this.state(Math.max(now, stored.statedAt + 1), {
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
      this.state(now, desired);
    }
  }
}

/** A restart that changes nothing needs no write, and no reads by others. */
function isStored(desired: BoxRecord, stored: BoxRecord | undefined): boolean {
  return (
    stored !== undefined &&
    isSameStatement(desired, stored) &&
    desired.statedAt - stored.statedAt < RECORD_RENEWAL_MILLISECONDS
  );
}
