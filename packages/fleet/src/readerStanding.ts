// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a node knows of one of those that it follows. */

/** What a node tells those that follow it, again and again. */
export interface ReaderReport {
  /** The version of the configuration in force there. */
  readonly version: number;
  /** The same on two nodes that know the same statements of boxes. */
  readonly boxesDigest: number;
  /** It reads the store for others, and the store answers. */
  readonly isReading: boolean;
  /** Milliseconds since the store last answered it. */
  readonly storeAge: number;
  /** Milliseconds in which the next report is to come. */
  readonly nextWithin: number;
}

/** A report may come this many times later than it was due. */
const SILENCE_FACTOR = 2.2;

/** Time in which a node that is followed from now on has to tell something. */
const FIRST_REPORT_MILLISECONDS = 1200;

/** A silent node is followed again after this; doubled each further time. */
const FIRST_SILENCE_MILLISECONDS = 4000;

/** The longest such time: what is gone for good keeps its record for minutes. */
const LONGEST_SILENCE_MILLISECONDS = 30_000;

/** What has just changed is on its way to the followers for no longer. */
const ON_ITS_WAY_MILLISECONDS = 700;

/** Kept for each node that was followed. */
export class ReaderStanding {
  private report: ReaderReport | undefined;
  private heardAt = 0;
  private followedSince = 0;
  private silences = 0;
  private silentUntil = 0;
  private differsSince: number | undefined;
  /** The digest that its boxes had when they were last asked for. */
  private askedFor: number | undefined;

  /** It is followed from now on. */
  followedFrom(now: number): void {
    this.followedSince = now;
  }

  heard(now: number, report: ReaderReport): void {
    this.report = report;
    this.heardAt = now;
    this.silences = 0;
    this.silentUntil = 0;
  }

  /** Notices that it has fallen silent. */
  tick(now: number): void {
    if (now - Math.max(this.heardAt, this.followedSince) <= this.patience) {
      return;
    }
    const pause = Math.min(
      LONGEST_SILENCE_MILLISECONDS,
      FIRST_SILENCE_MILLISECONDS * 2 ** this.silences,
    );
    this.silences += 1;
    this.silentUntil = now + pause;
    this.report = undefined;
  }

  /** Whether it is passed over for now. */
  isSilent(now: number): boolean {
    return now < this.silentUntil;
  }

  /** It said that it does not read, or that the store does not answer it. */
  get isTurnedAway(): boolean {
    return this.report?.isReading === false;
  }

  isReading(now: number): boolean {
    const isFresh = now - this.heardAt <= this.patience;
    return isFresh && this.report?.isReading === true;
  }

  /** Milliseconds since the store answered it; undefined while it does not read. */
  newsAge(now: number): number | undefined {
    return this.report?.isReading === true
      ? this.report.storeAge + now - this.heardAt
      : undefined;
  }

  /** True once for boxes of its that differ for longer than news is on its way. */
  wantsBoxes(now: number, ownDigest: number): boolean {
    const digest = this.report?.boxesDigest ?? ownDigest;
    if (digest === ownDigest) {
      this.differsSince = undefined;
      return false;
    }
    this.differsSince ??= now;
    const isOnItsWay = now - this.differsSince < ON_ITS_WAY_MILLISECONDS;
    if (isOnItsWay || this.askedFor === digest) {
      return false;
    }
    this.askedFor = digest;
    return true;
  }

  private get patience(): number {
    return this.report === undefined
      ? FIRST_REPORT_MILLISECONDS
      : this.report.nextWithin * SILENCE_FACTOR;
  }
}
