// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** State of one followed node. */

/** What a node regularly reports to its followers. */
export interface ReaderReport {
  /** The version of the configuration in force there. */
  readonly version: number;
  /** Equal on two nodes that hold the same box records. */
  readonly boxesDigest: number;
  /** The node reads the store for others, and the store answers. */
  readonly isReading: boolean;
  /** Milliseconds since the store last answered the node. */
  readonly storeAge: number;
  /** Milliseconds within which the next report is due. */
  readonly nextWithin: number;
}

/** A report may take this many times its announced interval. */
const SILENCE_FACTOR = 2.2;

/** Time within which a newly followed node has to send a report. */
const FIRST_REPORT_TIMEOUT_MILLISECONDS = 1200;

/** Delay before a silent node is followed again; doubled each time. */
const FIRST_RETRY_MILLISECONDS = 4000;

/**
 * Upper bound of that delay: the record of a departed node remains for minutes.
 */
const MAXIMUM_RETRY_MILLISECONDS = 30_000;

/** Time within which a change reaches the followers. */
const PROPAGATION_MILLISECONDS = 700;

/** One instance for each node that was followed. */
export class ReaderStatus {
  private report: ReaderReport | undefined;
  private reportedAt = 0;
  private followedSince = 0;
  private silences = 0;
  private silentUntil = 0;
  private differsSince: number | undefined;
  /** Digest of the node's boxes when they were last requested. */
  private requestedDigest: number | undefined;

  /** The node is followed from now on. */
  startFollowing(now: number): void {
    this.followedSince = now;
  }

  reportReceived(now: number, report: ReaderReport): void {
    this.report = report;
    this.reportedAt = now;
    this.silences = 0;
    this.silentUntil = 0;
  }

  /** Detects that the node has fallen silent. */
  tick(now: number): void {
    if (
      now - Math.max(this.reportedAt, this.followedSince) <=
      this.reportTimeout
    ) {
      return;
    }
    const backoff = Math.min(
      MAXIMUM_RETRY_MILLISECONDS,
      FIRST_RETRY_MILLISECONDS * 2 ** this.silences,
    );
    this.silences += 1;
    this.silentUntil = now + backoff;
    this.report = undefined;
  }

  /** Whether the node is skipped for now. */
  isSilent(now: number): boolean {
    return now < this.silentUntil;
  }

  /**
   * The node reported that it does not read, or that the store does not answer.
   */
  get cannotRead(): boolean {
    return this.report?.isReading === false;
  }

  /** Whether the node reports, and reads the store. */
  isReading(now: number): boolean {
    return this.isHeard(now) && this.report?.isReading === true;
  }

  /** Whether the node reports. */
  isHeard(now: number): boolean {
    return (
      this.report !== undefined && now - this.reportedAt <= this.reportTimeout
    );
  }

  /**
   * Milliseconds since the store answered the node; undefined if it does not
   * read.
   */
  staleness(now: number): number | undefined {
    return this.report?.isReading === true
      ? this.report.storeAge + now - this.reportedAt
      : undefined;
  }

  /**
   * True once per digest that differs for longer than changes take to
   * propagate.
   */
  needsBoxes(now: number, ownDigest: number): boolean {
    const digest = this.report?.boxesDigest ?? ownDigest;
    if (digest === ownDigest) {
      this.differsSince = undefined;
      return false;
    }
    this.differsSince ??= now;
    const mayBePropagating = now - this.differsSince < PROPAGATION_MILLISECONDS;
    if (mayBePropagating || this.requestedDigest === digest) {
      return false;
    }
    this.requestedDigest = digest;
    return true;
  }

  private get reportTimeout(): number {
    return this.report === undefined
      ? FIRST_REPORT_TIMEOUT_MILLISECONDS
      : this.report.nextWithin * SILENCE_FACTOR;
  }
}
