// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * A token bucket per customer, kept by one box on behalf of the fleet. Boxes
 * lend the pool their share of all limits for a limited time, and tokens accrue
 * only from lent shares. So no two pools accrue the same token even if they
 * disagree about the membership, and none accrues for a box that is partitioned
 * off.
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
 * Validity of a loan, counted from the pool timestamp that the lender quotes,
 * which is one renewal interval old. After it, a partitioned box has its share
 * back.
 */
export const LOAN_DURATION_MILLISECONDS = 6000;

/** Tokens in a box's local stock expire after this time. */
export const STOCK_LIFETIME_MILLISECONDS = 4000;

/** Boxes that drew within this time share the available tokens. */
const CONTENTION_WINDOW_MILLISECONDS = 500;

/** Bounds the sets kept, since each membership change may bring a new set. */
const MAXIMUM_POOL_SETS = 32;

/**
 * Refilling iterates over all loans, which costs more than a draw; draws reuse
 * a refill that is younger than this.
 */
const REFILL_INTERVAL_MILLISECONDS = 50;

/**
 * Share of a customer's tokens that boxes may hold in local stock, to use
 * without asking the pool.
 */
const STOCK_SHARE = 0.8;

/** Bounds of the retry delay returned to a box that got too few tokens. */
const MINIMUM_RETRY_MILLISECONDS = 100;
const MAXIMUM_RETRY_MILLISECONDS = 1000;

/** Dependencies of a token pool. */
export interface TokenPoolContext {
  readonly box: string;
  /** Distinguishes this process from earlier ones on the same box. */
  readonly process: number;
  readonly limitOf: (customer: string) => RateLimit | undefined;
  readonly rules: () => LimitRules;
  /** Number of boxes known to this node. */
  readonly boxes: () => number;
}

interface Lender {
  readonly pools: PoolSet;
  readonly boxes: number;
  /** Start of the uninterrupted sequence of loans. */
  readonly begunAt: number;
  readonly until: number;
}

/** Upper bound of what a box still holds in local stock. */
interface Stock {
  readonly tokens: number;
  readonly until: number;
}

interface Account {
  readonly customer: string;
  tokens: number;
  refilledAt: number;
  /** Share of the limit lent to this pool at the last refill. */
  share: number;
  readonly stocks: Map<string, Stock>;
  /** Time of each box's last draw. */
  readonly askedAt: Map<string, number>;
}

/** Accrues tokens and grants them to boxes. */
export class TokenPool {
  private readonly lenders = new Map<string, Lender>();
  private readonly poolSets = new Map<number, PoolSet>();
  private readonly accounts = new Map<string, Account>();

  constructor(private readonly context: TokenPoolContext) {}

  /** Records a box's loan and grants the tokens it draws. */
  handleRequest(now: number, {box, loan, draws}: LimitRequest): LimitReply {
    const lacksPools = loan !== undefined && !this.acceptLoan(now, box, loan);
    return {
      kind: 'limit-reply',
      box: this.context.box,
      moment: {process: this.context.process, at: now},
      poolsDigest: this.lenders.get(box)?.pools.digest ?? 0,
      lacksPools,
      grants: draws.map((draw) => this.grant(now, box, draw)),
    };
  }

  /**
   * Drops expired loans and accrues tokens for the time since the last tick.
   */
  tick(now: number): void {
    for (const [box, {until}] of this.lenders) {
      if (until < now) {
        this.lenders.delete(box);
      }
    }
    this.evictUnusedPoolSets();
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
   * The clock jumped ahead by a time that may not have passed. No tokens accrue
   * for it, and it does not expire tokens in local stocks.
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

  /**
   * Evicts sets that no loan refers to; a lender that needs one again resends
   * it.
   */
  private evictUnusedPoolSets(): void {
    if (this.poolSets.size <= MAXIMUM_POOL_SETS) {
      return;
    }
    const used = new Set([...this.lenders.values()].map(({pools}) => pools));
    for (const [digest, pools] of this.poolSets) {
      if (!used.has(pools)) {
        this.poolSets.delete(digest);
      }
    }
  }

  /**
   * Returns false if the loan refers to a pool set that this pool does not
   * know.
   */
  private acceptLoan(now: number, box: string, loan: Loan): boolean {
    if (loan.pools !== undefined && !this.poolSets.has(loan.poolsDigest)) {
      this.poolSets.set(loan.poolsDigest, new PoolSet(loan.pools));
    }
    const pools = this.poolSets.get(loan.poolsDigest);
    if (pools === undefined) {
      return false;
    }
    const {since, boxes} = loan;
    const until = since.at + LOAN_DURATION_MILLISECONDS;
    if (since.process !== this.context.process || until < now) {
      return true;
    }
    const previous = this.lenders.get(box);
    const isRenewal =
      previous !== undefined &&
      previous.until >= now &&
      previous.pools === pools;
    const begunAt = isRenewal ? previous.begunAt : now;
    this.lenders.set(box, {pools, boxes, begunAt, until});
    return true;
  }

  /** Accrues the tokens that the loans allow since the last refill. */
  private refill(now: number, limit: RateLimit, account: Account): void {
    const since = account.refilledAt;
    let share = 0;
    let accrued = 0;
    this.forEachLoan(now, account.customer, (lentShare, begunAt) => {
      share += lentShare;
      accrued += lentShare * (now - Math.max(since, begunAt));
    });
    const tokens = account.tokens + (accrued * limit.callsPerSecond) / 1000;
    account.share = share;
    account.refilledAt = now;
    const {capacity, stocked} = this.bounds(now, limit, account);
    account.tokens = Math.min(tokens, Math.max(0, capacity - stocked));
  }

  /**
   * Calls back with the share of a limit that each valid loan lends, and its
   * start.
   */
  private forEachLoan(
    now: number,
    customer: string,
    callback: (share: number, begunAt: number) => void,
  ): void {
    const knownBoxes = this.context.boxes();
    for (const {pools, boxes, begunAt, until} of this.lenders.values()) {
      if (until >= now) {
        const share = pools.shareOf(this.context.box, customer);
        callback(share / Math.max(1, boxes, knownBoxes), begunAt);
      }
    }
  }

  /**
   * The number of tokens that may exist here and in local stocks, and the
   * number in local stocks.
   */
  private bounds(
    now: number,
    limit: RateLimit,
    {share, stocks}: Account,
  ): {readonly capacity: number; readonly stocked: number} {
    const capacity = tokenCapacity(limit, this.context.rules()) * share;
    return {capacity, stocked: sumStocks(now, stocks)};
  }

  private grant(now: number, box: string, draw: Draw): Grant {
    const {customer, held, waiting, stock, returned} = draw;
    const limit = this.context.limitOf(customer);
    if (limit === undefined) {
      // The requesting box has a newer configuration than this one.
      const retryAfterMilliseconds = MINIMUM_RETRY_MILLISECONDS;
      return {customer, tokens: 0, retryAfterMilliseconds};
    }
    const account =
      this.accounts.get(customer) ?? this.openAccount(now, customer, limit);
    if (now - account.refilledAt >= REFILL_INTERVAL_MILLISECONDS) {
      this.refill(now, limit, account);
    }
    account.askedAt.set(box, now);
    setStock(account, box, held, now);
    const {capacity, stocked} = this.bounds(now, limit, account);
    const headroom = Math.max(0, capacity - stocked);
    account.tokens = Math.min(headroom, account.tokens + returned);
    const contenders = countContenders(account.askedAt, now);
    const fairShare = Math.max(1, account.tokens / contenders);
    const forCalls = Math.floor(Math.min(waiting, fairShare, account.tokens));
    const remaining = account.tokens - forCalls;
    const stockRoom = Math.min(
      remaining * STOCK_SHARE,
      remaining / contenders,
      capacity * STOCK_SHARE - stocked,
    );
    const forStock = Math.floor(Math.max(0, Math.min(stock, stockRoom)));
    account.tokens = remaining - forStock;
    setStock(account, box, held + forStock, now);
    const isShort = forCalls < waiting;
    return {
      customer,
      tokens: forCalls + forStock,
      retryAfterMilliseconds: isShort
        ? nextTokenDelay(limit, account, contenders)
        : 0,
    };
  }

  /** Starts at time 0, so that the customer gets the tokens accrued so far. */
  private openAccount(
    now: number,
    customer: string,
    limit: RateLimit,
  ): Account {
    const account: Account = {
      customer,
      tokens: 0,
      refilledAt: 0,
      share: 0,
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
    stocks.set(box, {tokens, until: now + STOCK_LIFETIME_MILLISECONDS});
  } else {
    stocks.delete(box);
  }
}

function sumStocks(now: number, stocks: Map<string, Stock>): number {
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

/** Boxes that drew recently; older entries are removed. */
function countContenders(askedAt: Map<string, number>, now: number): number {
  for (const [box, at] of askedAt) {
    if (now - at > CONTENTION_WINDOW_MILLISECONDS) {
      askedAt.delete(box);
    }
  }
  return Math.max(1, askedAt.size);
}

/** Milliseconds until there is a token for each contending box. */
function nextTokenDelay(
  {callsPerSecond}: RateLimit,
  {tokens, share}: Account,
  contenders: number,
): number {
  const perMillisecond = (callsPerSecond * share) / 1000;
  const wait =
    perMillisecond > 0
      ? (contenders - tokens) / perMillisecond
      : MAXIMUM_RETRY_MILLISECONDS;
  return Math.min(
    MAXIMUM_RETRY_MILLISECONDS,
    Math.max(MINIMUM_RETRY_MILLISECONDS, wait),
  );
}
