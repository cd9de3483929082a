// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What one upstream process states about itself, and whether it still holds. */

import type {RequestRate} from '@lockpin/admission';
import type {KnownNotice, UpstreamNotice} from '@lockpin/types';

/**
 * Answers that were given at almost the same time may be read in any order, so
 * a limit holds for this long after an answer that states it.
 */
const LIMIT_HOLD_MILLISECONDS = 100;

/** Tokens with which a restarted guard begins to keep a limit. */
const FIRST_TOKENS_AFTER_RESTART = 1;

/** A change of what the upstream states. */
export type NoticeChange =
  | {readonly kind: 'limited'; readonly requestsPerSecond: number}
  | {readonly kind: 'limit-ended'}
  | {readonly kind: 'limit-unreadable'; readonly value: string};

/** Tracks the limit of one process. */
export class StatedNotice {
  private statedAt = Number.NEGATIVE_INFINITY;
  private hasAnswered = false;
  private lastUnreadable: string | undefined;

  constructor(private readonly rate: RequestRate) {}

  /** The stated limit in requests per second; undefined if there is none. */
  get requestsPerSecond(): number | undefined {
    return this.rate.limit;
  }

  /** Milliseconds since the limit was last stated. */
  limitAge(now: number): number {
    return now - this.statedAt;
  }

  /** Handles the statements of an answer. */
  answered(now: number, notice: UpstreamNotice): readonly NoticeChange[] {
    this.hasAnswered = true;
    const {requestsPerSecond, unreadableLimit} = notice;
    return [
      ...this.unreadable(unreadableLimit),
      ...this.limitStated(now, requestsPerSecond),
    ];
  }

  /** Handles what an entry was told before this guard's process started. */
  learned(now: number, notice: KnownNotice): readonly NoticeChange[] {
    const {requestsPerSecond} = notice;
    const isNews = !this.hasAnswered && this.rate.limit === undefined;
    return [
      ...(isNews && requestsPerSecond !== undefined
        ? this.setLimit(now, requestsPerSecond, FIRST_TOKENS_AFTER_RESTART)
        : []),
    ];
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
    if (isRaised && this.limitAge(now) <= LIMIT_HOLD_MILLISECONDS) {
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
    const before = this.rate.limit;
    this.statedAt = now;
    this.rate.setLimit(now, limit, firstTokens);
    const requestsPerSecond = this.rate.limit ?? limit;
    return before === requestsPerSecond
      ? []
      : [{kind: 'limited', requestsPerSecond}];
  }

  private endLimit(now: number): readonly NoticeChange[] {
    if (this.rate.limit === undefined) {
      return [];
    }
    this.rate.setLimit(now, undefined);
    return [{kind: 'limit-ended'}];
  }
}
