// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * The local stock of one customer's tokens at a box, and the calls waiting for
 * one.
 */

import {STOCK_LIFETIME_MILLISECONDS} from './tokenPool.js';

/**
 * How long a local stock should last; tokens held by one box are missing at
 * others.
 */
const STOCK_TARGET_SECONDS = 1.5;

/** Largest local stock. */
const MAXIMUM_STOCK = 8;

/** Time constant of the moving average of the call rate. */
const RATE_TIME_CONSTANT_MILLISECONDS = 3000;

/** Without a call for this long, a customer gets no local stock. */
const IDLE_TIMEOUT_MILLISECONDS = 3000;

/** A pool that had too few tokens for this box. */
interface EmptyPool {
  readonly retryAt: number;
  readonly availableAt: number;
}

/** Tracks tokens and waiting calls; pools are known by name only. */
export class CustomerTokens {
  /** Ids of the waiting calls, oldest first. */
  readonly waiting: string[] = [];
  private tokens = 0;
  /**
   * Expiry of the tokens, counted from when their draw was sent, which is
   * before they were granted.
   */
  private validUntil = 0;
  private rate = 0;
  private calledAt = 0;
  private readonly emptyPools = new Map<string, EmptyPool>();

  /** Updates the call rate on an incoming call. */
  recordCall(now: number): void {
    const decay = Math.exp(
      -(now - this.calledAt) / RATE_TIME_CONSTANT_MILLISECONDS,
    );
    this.rate = this.rate * decay + 1000 / RATE_TIME_CONSTANT_MILLISECONDS;
    this.calledAt = now;
  }

  /** Takes one token from the local stock, if there is one. */
  take(now: number): boolean {
    if (this.count(now) < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  /** Tokens in the local stock. */
  count(now: number): number {
    if (now > this.validUntil) {
      this.tokens = 0;
    }
    return this.tokens;
  }

  /**
   * Adds the tokens of a draw sent at the given time; the earlier expiry wins.
   */
  add(askedAt: number, tokens: number): void {
    const until = askedAt + STOCK_LIFETIME_MILLISECONDS;
    this.validUntil =
      this.tokens > 0 ? Math.min(this.validUntil, until) : until;
    this.tokens += tokens;
  }

  /** Returns the token of a call that did not run. */
  returnToken(now: number): void {
    if (now <= this.validUntil) {
      this.tokens += 1;
    }
  }

  /** Discards all tokens and what is known of empty pools. */
  clear(): void {
    this.tokens = 0;
    this.emptyPools.clear();
  }

  /** Tokens missing to the target. */
  deficit(now: number): number {
    return Math.max(0, this.target(now) - this.count(now));
  }

  /** Whether the local stock is at most half of its target. */
  needsRefill(now: number): boolean {
    return this.count(now) <= this.target(now) / 2 && this.deficit(now) > 0;
  }

  /** Tokens above the target. */
  surplus(now: number): number {
    return Math.max(0, this.count(now) - this.target(now));
  }

  /** Removes the surplus and returns it. */
  takeSurplus(now: number): number {
    const surplus = this.surplus(now);
    this.tokens -= surplus;
    return surplus;
  }

  /**
   * Records that a pool is empty: when to ask it again, and when it will have
   * tokens for all boxes.
   */
  markEmpty(pool: string, retryAt: number, availableAt: number): void {
    this.emptyPools.set(pool, {retryAt, availableAt});
  }

  isEmptyAt(now: number, pool: string): boolean {
    return now < (this.emptyPools.get(pool)?.retryAt ?? 0);
  }

  /**
   * The earliest time at which one of the pools will have tokens for all boxes.
   */
  earliestAvailability(pools: readonly string[]): number {
    return Math.min(
      ...pools.flatMap((pool) => this.emptyPools.get(pool)?.availableAt ?? []),
    );
  }

  /** Whether there is no state worth keeping. */
  isExpired(now: number): boolean {
    const isIdle = now - this.calledAt > IDLE_TIMEOUT_MILLISECONDS;
    return isIdle && this.waiting.length === 0 && this.count(now) === 0;
  }

  private target(now: number): number {
    if (now - this.calledAt > IDLE_TIMEOUT_MILLISECONDS) {
      return 0;
    }
    return Math.min(MAXIMUM_STOCK, Math.ceil(this.rate * STOCK_TARGET_SECONDS));
  }
}
