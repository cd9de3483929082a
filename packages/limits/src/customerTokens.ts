// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The tokens of one customer that a box has in store, and the calls that wait for one. */

import {STOCK_MILLISECONDS} from './tokenPool.js';

/** The time that a store is to last; what one box has, others lack. */
const STORE_SECONDS = 1.5;

/** Tokens in store at the most. */
const MOST_STORED = 8;

/** The rate of calls is averaged over about this time. */
const RATE_MILLISECONDS = 3000;

/** A customer that has not called for so long needs nothing in store. */
const IDLE_MILLISECONDS = 3000;

/** A pool that had no token for this box. */
interface EmptyPool {
  readonly askAt: number;
  readonly roomAt: number;
}

/** Counts what is there; knows no pools but by name. */
export class CustomerTokens {
  /** Calls, in the order in which they came. */
  readonly waiting: string[] = [];
  private tokens = 0;
  /** Tokens were made after the draw that brought them was sent. */
  private validUntil = 0;
  private rate = 0;
  private calledAt = 0;
  private readonly empty = new Map<string, EmptyPool>();

  /** A call came. */
  called(now: number): void {
    const gone = Math.exp(-(now - this.calledAt) / RATE_MILLISECONDS);
    this.rate = this.rate * gone + 1000 / RATE_MILLISECONDS;
    this.calledAt = now;
  }

  /** Takes one token out of the store, if there is one. */
  take(now: number): boolean {
    if (this.count(now) < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  /** Tokens in store. */
  count(now: number): number {
    if (now > this.validUntil) {
      this.tokens = 0;
    }
    return this.tokens;
  }

  /** A draw that was sent at a time brought some; old ones keep their time. */
  add(askedAt: number, tokens: number): void {
    const until = askedAt + STOCK_MILLISECONDS;
    this.validUntil =
      this.tokens > 0 ? Math.min(this.validUntil, until) : until;
    this.tokens += tokens;
  }

  /** A call that had taken a token has run nowhere: another may have it. */
  putBack(now: number): void {
    if (now <= this.validUntil) {
      this.tokens += 1;
    }
  }

  /** Nothing is left in store. */
  drop(): void {
    this.tokens = 0;
    this.empty.clear();
  }

  /** Tokens that the store lacks. */
  missing(now: number): number {
    return Math.max(0, this.target(now) - this.count(now));
  }

  /** Whether the store is at most half full. */
  wants(now: number): boolean {
    return this.count(now) <= this.target(now) / 2 && this.missing(now) > 0;
  }

  /** Tokens that are not needed. */
  surplus(now: number): number {
    return Math.max(0, this.count(now) - this.target(now));
  }

  /** Takes out what is not needed. */
  giveBack(now: number): number {
    const surplus = this.surplus(now);
    this.tokens -= surplus;
    return surplus;
  }

  /** A pool has none: it is not asked before a time, and has room for all at another. */
  emptyAt(pool: string, askAt: number, roomAt: number): void {
    this.empty.set(pool, {askAt, roomAt});
  }

  isEmptyAt(now: number, pool: string): boolean {
    return now < (this.empty.get(pool)?.askAt ?? 0);
  }

  /** When the first of these pools will have room. */
  roomAt(pools: readonly string[]): number {
    return Math.min(
      ...pools.flatMap((pool) => this.empty.get(pool)?.roomAt ?? []),
    );
  }

  /** Nothing is known that matters. */
  isForgotten(now: number): boolean {
    const isIdle = now - this.calledAt > IDLE_MILLISECONDS;
    return isIdle && this.waiting.length === 0 && this.count(now) === 0;
  }

  private target(now: number): number {
    if (now - this.calledAt > IDLE_MILLISECONDS) {
      return 0;
    }
    return Math.min(MOST_STORED, Math.ceil(this.rate * STORE_SECONDS));
  }
}
