// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What one upstream process states about itself, and whether it still holds. */

import type {RequestRate} from '@lockpin/admission';
import type {KnownNotice, UpstreamNotice} from '@lockpin/types';
import type {LimitInForce} from './guardMessages.js';

/**
 * Answers that were given at almost the same time may be read in any order, so
 * a limit holds for this long after an answer that states it.
 */
const LIMIT_HOLD_MILLISECONDS = 100;

/**
 * A leaving upstream without an identity gets a call after this time: another
 * process may have taken its place.
 */
const LEAVING_RECHECK_MILLISECONDS = 30_000;

/** A limit is reported again when it differs from the last by this share. */
const REPORTED_CHANGE_SHARE = 0.1;

/** Tokens with which a restarted guard begins to keep a limit. */
const FIRST_TOKENS_AFTER_RESTART = 1;

/** A change of what the upstream states. */
export type NoticeChange =
  | {
      readonly kind: 'limited';
      readonly requestsPerSecond: number;
      /** The limit reported before; undefined if there was none. */
      readonly before: number | undefined;
    }
  | {readonly kind: 'limit-ended'}
  | {readonly kind: 'limit-unreadable'; readonly value: string}
  | {readonly kind: 'leaving'};

/** Tracks the limit and the departure of one process. */
export class StatedNotice {
  private statedAt = Number.NEGATIVE_INFINITY;
  private leavingAt: number | undefined;
  private hasAnswered = false;
  private lastUnreadable: string | undefined;
  private reportedLimit: number | undefined;

  constructor(private readonly rate: RequestRate) {}

  /** The stated limit in requests per second; undefined if there is none. */
  get requestsPerSecond(): number | undefined {
    return this.rate.limit;
  }

  /** Whether the upstream takes no further calls. */
  get isLeaving(): boolean {
    return this.leavingAt !== undefined;
  }

  /** The limit and its age; undefined if there is none. */
  limitInForce(now: number): LimitInForce | undefined {
    const {requestsPerSecond} = this;
    return requestsPerSecond === undefined
      ? undefined
      : {requestsPerSecond, age: now - this.statedAt};
  }

  /** Handles the statements of an answer. */
  answered(now: number, notice: UpstreamNotice): readonly NoticeChange[] {
    this.hasAnswered = true;
    const {requestsPerSecond, isLeaving, unreadableLimit} = notice;
    return [
      ...this.unreadable(unreadableLimit),
      ...this.limitStated(now, requestsPerSecond),
      ...(isLeaving ? this.leave(now) : []),
    ];
  }

  /** Handles a notice that an entry got before this guard's process started. */
  learned(now: number, notice: KnownNotice): readonly NoticeChange[] {
    const {requestsPerSecond, isLeaving, incarnation} = notice;
    const isNews = !this.hasAnswered && this.rate.limit === undefined;
    return [
      ...(isNews && requestsPerSecond !== undefined
        ? this.setLimit(now, requestsPerSecond, FIRST_TOKENS_AFTER_RESTART)
        : []),
      ...(isLeaving && incarnation !== '' ? this.leave(now) : []),
    ];
  }

  /** Lets a leaving upstream without an identity take calls again when due. */
  recheck(now: number): void {
    if (now - (this.leavingAt ?? now) > LEAVING_RECHECK_MILLISECONDS) {
      this.leavingAt = undefined;
    }
  }

  private unreadable(value: string | undefined): readonly NoticeChange[] {
    const isNew = value !== undefined && value !== this.lastUnreadable;
    this.lastUnreadable = value;
    return isNew ? [{kind: 'limit-unreadable', value}] : [];
  }

  private limitStated(
    now: number,
    limit: number | undefined,
  ): readonly NoticeChange[] {
    const known = this.rate.limit;
    const isRaised =
      known !== undefined && (limit === undefined || limit > known);
    if (isRaised && now - this.statedAt <= LIMIT_HOLD_MILLISECONDS) {
      return [];
    }
    return limit === undefined
      ? this.endLimit(now)
      : this.setLimit(now, limit, 0);
  }

  private setLimit(
    now: number,
    limit: number,
    firstTokens: number,
  ): readonly NoticeChange[] {
    this.statedAt = now;
    this.rate.setLimit(now, limit, firstTokens);
    const before = this.reportedLimit;
    const change = Math.abs(limit - (before ?? Number.POSITIVE_INFINITY));
    if (change <= (before ?? 0) * REPORTED_CHANGE_SHARE) {
      return [];
    }
    this.reportedLimit = limit;
    return [{kind: 'limited', requestsPerSecond: limit, before}];
  }

  private endLimit(now: number): readonly NoticeChange[] {
    if (this.rate.limit === undefined) {
      return [];
    }
    this.rate.setLimit(now, undefined);
    this.reportedLimit = undefined;
    return [{kind: 'limit-ended'}];
  }

  private leave(now: number): readonly NoticeChange[] {
    const wasLeaving = this.isLeaving;
    this.leavingAt = now;
    return wasLeaving ? [] : [{kind: 'leaving'}];
  }
}
