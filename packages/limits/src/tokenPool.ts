// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * The tokens of customers that a box keeps for the fleet. It makes them only out of
 * the parts that boxes lend it, each box to each pool for a while: no two pools make
 * the same token, whatever they believe of each other, and none is made for a box that
 * is cut off.
 */

import type {
  Draw,
  Grant,
  LimitReply,
  LimitRequest,
  Loan,
} from './limitMessages.js';
import {PoolSet} from './poolPlacement.js';
import {tokenCapacity} from './rateLimit.js';
import type {LimitRules, RateLimit} from './rateLimit.js';

/**
 * A loan lasts this long after the moment of the pool that the lender goes by, which is
 * one renewal old; a cut box has its part back after it.
 */
export const LOAN_MILLISECONDS = 6000;

/** A box uses the tokens in its store within this time, or loses them. */
export const STOCK_MILLISECONDS = 4000;

/** Boxes that asked within this time share what is there. */
const CONTENDER_MILLISECONDS = 500;

/** Boxes come and go all day, and each time the pools may be others. */
const MOST_POOL_SETS = 32;

/** Looking at all loans for each draw would cost more than the draw. */
const REFILL_MILLISECONDS = 50;

/** Part of a customer's tokens that boxes may have in store, to use without asking. */
const STOCK_SHARE = 0.8;

/** Bounds of the time after which a box that got nothing asks again. */
const SHORTEST_RETRY_MILLISECONDS = 100;
const LONGEST_RETRY_MILLISECONDS = 1000;

/** What a pool has to know of its node. */
export interface TokenPoolContext {
  readonly box: string;
  /** Tells this process from earlier ones on the box. */
  readonly process: number;
  readonly limitOf: (customer: string) => RateLimit | undefined;
  readonly rules: () => LimitRules;
  /** Boxes that are known here. */
  readonly boxes: () => number;
}

interface Lender {
  readonly pools: PoolSet;
  readonly boxes: number;
  /** When the loan under way began, without a break until now. */
  readonly begunAt: number;
  readonly until: number;
}

/** What a box may still have in store. */
interface Stock {
  readonly tokens: number;
  readonly until: number;
}

interface Account {
  readonly customer: string;
  tokens: number;
  refilledAt: number;
  /** Part of the limit that was lent to this pool when last looked at. */
  part: number;
  readonly stocks: Map<string, Stock>;
  /** When each box last asked. */
  readonly askedAt: Map<string, number>;
}

/** Makes tokens and gives them out. */
export class TokenPool {
  private readonly lenders = new Map<string, Lender>();
  private readonly poolSets = new Map<number, PoolSet>();
  private readonly accounts = new Map<string, Account>();

  constructor(private readonly context: TokenPoolContext) {}

  /** Takes a box's loan, and gives it tokens. */
  answer(now: number, {box, loan, draws}: LimitRequest): LimitReply {
    const lacksPools = loan !== undefined && !this.lend(now, box, loan);
    return {
      kind: 'limit-reply',
      box: this.context.box,
      moment: {process: this.context.process, at: now},
      poolsDigest: this.lenders.get(box)?.pools.digest ?? 0,
      lacksPools,
      grants: draws.map((draw) => this.give(now, box, draw)),
    };
  }

  /** Makes the tokens of the time since the last tick. */
  tick(now: number): void {
    for (const [box, {until}] of this.lenders) {
      if (until < now) {
        this.lenders.delete(box);
      }
    }
    this.forgetPoolSets();
    for (const [customer, account] of this.accounts) {
      const limit = this.context.limitOf(customer);
      if (limit === undefined) {
        this.accounts.delete(customer);
      } else {
        this.refill(now, limit, account);
      }
    }
  }

  /**
   * The clock counts this much more time from here on, which may not have passed: no
   * tokens are made for it, and those in boxes' stores are not taken for lapsed.
   */
  clockGained(milliseconds: number): void {
    for (const [box, lender] of this.lenders) {
      const begunAt = lender.begunAt + milliseconds;
      this.lenders.set(box, {...lender, begunAt});
    }
    for (const account of this.accounts.values()) {
      account.refilledAt += milliseconds;
      for (const [box, {tokens, until}] of account.stocks) {
        account.stocks.set(box, {tokens, until: until + milliseconds});
      }
    }
  }

  /** Sets that no lender goes by any more; one that does names them again. */
  private forgetPoolSets(): void {
    if (this.poolSets.size <= MOST_POOL_SETS) {
      return;
    }
    const used = new Set([...this.lenders.values()].map(({pools}) => pools));
    for (const [digest, pools] of this.poolSets) {
      if (!used.has(pools)) {
        this.poolSets.delete(digest);
      }
    }
  }

  /** False when the loan names pools that were never told. */
  private lend(now: number, box: string, loan: Loan): boolean {
    if (loan.pools !== undefined && !this.poolSets.has(loan.poolsDigest)) {
      this.poolSets.set(loan.poolsDigest, new PoolSet(loan.pools));
    }
    const pools = this.poolSets.get(loan.poolsDigest);
    if (pools === undefined) {
      return false;
    }
    const {since, boxes} = loan;
    const until = since.at + LOAN_MILLISECONDS;
    if (since.process !== this.context.process || until < now) {
      return true;
    }
    const before = this.lenders.get(box);
    const goesOn =
      before !== undefined && before.until >= now && before.pools === pools;
    const begunAt = goesOn ? before.begunAt : now;
    this.lenders.set(box, {pools, boxes, begunAt, until});
    return true;
  }

  /** Makes what the loans of the time since the last look allow. */
  private refill(now: number, limit: RateLimit, account: Account): void {
    const since = account.refilledAt;
    let part = 0;
    let made = 0;
    this.eachLoan(now, account.customer, (lent, begunAt) => {
      part += lent;
      made += lent * (now - Math.max(since, begunAt));
    });
    const tokens = account.tokens + (made * limit.callsPerSecond) / 1000;
    account.part = part;
    account.refilledAt = now;
    const {capacity, stocked} = this.bounds(now, limit, account);
    account.tokens = Math.min(tokens, Math.max(0, capacity - stocked));
  }

  /** Calls back with the part of a limit that each box lends now, and since when. */
  private eachLoan(
    now: number,
    customer: string,
    run: (part: number, begunAt: number) => void,
  ): void {
    const known = this.context.boxes();
    for (const {pools, boxes, begunAt, until} of this.lenders.values()) {
      if (until >= now) {
        const part = pools.partOf(this.context.box, customer);
        run(part / Math.max(1, boxes, known), begunAt);
      }
    }
  }

  /** Tokens that may exist here and in boxes' stores, and those in the stores. */
  private bounds(
    now: number,
    limit: RateLimit,
    {part, stocks}: Account,
  ): {readonly capacity: number; readonly stocked: number} {
    const capacity = tokenCapacity(limit, this.context.rules()) * part;
    return {capacity, stocked: inStock(now, stocks)};
  }

  private give(now: number, box: string, draw: Draw): Grant {
    const {customer, held, waiting, stock, returned} = draw;
    const limit = this.context.limitOf(customer);
    if (limit === undefined) {
      // A version that the asker has is not in force here yet.
      const retryAfterMilliseconds = SHORTEST_RETRY_MILLISECONDS;
      return {customer, tokens: 0, retryAfterMilliseconds};
    }
    const account =
      this.accounts.get(customer) ?? this.open(now, customer, limit);
    if (now - account.refilledAt >= REFILL_MILLISECONDS) {
      this.refill(now, limit, account);
    }
    account.askedAt.set(box, now);
    setStock(account, box, held, now);
    const {capacity, stocked} = this.bounds(now, limit, account);
    const room = Math.max(0, capacity - stocked);
    account.tokens = Math.min(room, account.tokens + returned);
    const contenders = countSince(account.askedAt, now);
    const fair = Math.max(1, account.tokens / contenders);
    const forCalls = Math.floor(Math.min(waiting, fair, account.tokens));
    const left = account.tokens - forCalls;
    const stockRoom = Math.min(
      left * STOCK_SHARE,
      left / contenders,
      capacity * STOCK_SHARE - stocked,
    );
    const forStock = Math.floor(Math.max(0, Math.min(stock, stockRoom)));
    account.tokens = left - forStock;
    setStock(account, box, held + forStock, now);
    const isShort = forCalls < waiting;
    return {
      customer,
      tokens: forCalls + forStock,
      retryAfterMilliseconds: isShort
        ? nextToken(limit, account, contenders)
        : 0,
    };
  }

  /** A customer that has not called has the tokens that were made meanwhile. */
  private open(now: number, customer: string, limit: RateLimit): Account {
    const account: Account = {
      customer,
      tokens: 0,
      refilledAt: 0,
      part: 0,
      stocks: new Map(),
      askedAt: new Map(),
    };
    this.refill(now, limit, account);
    this.accounts.set(customer, account);
    return account;
  }
}

function setStock(
  {stocks}: Account,
  box: string,
  tokens: number,
  now: number,
): void {
  if (tokens > 0) {
    stocks.set(box, {tokens, until: now + STOCK_MILLISECONDS});
  } else {
    stocks.delete(box);
  }
}

function inStock(now: number, stocks: Map<string, Stock>): number {
  let sum = 0;
  for (const [box, {tokens, until}] of stocks) {
    if (until < now) {
      stocks.delete(box);
    } else {
      sum += tokens;
    }
  }
  return sum;
}

/** Boxes that asked a short while ago; earlier ones are forgotten. */
function countSince(askedAt: Map<string, number>, now: number): number {
  for (const [box, at] of askedAt) {
    if (now - at > CONTENDER_MILLISECONDS) {
      askedAt.delete(box);
    }
  }
  return Math.max(1, askedAt.size);
}

/** When there will be a token for each box that asks. */
function nextToken(
  {callsPerSecond}: RateLimit,
  {tokens, part}: Account,
  contenders: number,
): number {
  const perMillisecond = (callsPerSecond * part) / 1000;
  const wait =
    perMillisecond > 0
      ? (contenders - tokens) / perMillisecond
      : LONGEST_RETRY_MILLISECONDS;
  return Math.min(
    LONGEST_RETRY_MILLISECONDS,
    Math.max(SHORTEST_RETRY_MILLISECONDS, wait),
  );
}
