// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Rate limiting of customers at a box that receives their calls. The box lends
 * its share of all limits to the token pools and draws tokens from them. Some
 * calls take a token from the local stock; the others wait a few milliseconds
 * for a pool's reply.
 */

import {CustomerTokens} from './customerTokens.js';
import type {Draw, Grant, LimitReply, LimitRequest} from './limitMessages.js';
import {PoolLinks} from './poolLinks.js';
import type {LimitFleet, PoolUpdate} from './poolLinks.js';

/** Whether a call is within its customer's limit. */
export type Admission =
  | {readonly kind: 'admitted'}
  /** The customer has used up its limit. */
  | {readonly kind: 'over-limit'; readonly retryAfterMilliseconds: number}
  /** No pool can be reached, so the customer's use is not known. */
  | {readonly kind: 'unknown'; readonly retryAfterMilliseconds: number};

/** Actions for the caller to perform. */
export type LimitAction =
  | {
      readonly kind: 'send';
      readonly box: string;
      readonly request: LimitRequest;
    }
  /** A pool is unresponsive; the connection to it may be dead. */
  | {readonly kind: 'pool-unresponsive'; readonly box: string}
  | {
      readonly kind: 'decided';
      readonly callId: string;
      readonly admission: Admission;
    };

/**
 * Time-out of a draw. Pools reply within a few milliseconds; after this the
 * next pool is asked, while the calls can still be served.
 */
export const REPLY_TIMEOUT_MILLISECONDS = 150;

/**
 * An empty pool is asked again after this at the latest. Callers are told when
 * there will be tokens for all boxes that ask, but few of them return at once;
 * without this bound, a box that has not drawn before would refuse calls while
 * the others leave tokens unused.
 */
const EMPTY_POOL_RETRY_MILLISECONDS = 150;

/**
 * Retry delay when no pool is reachable; the pools are selected anew within it.
 */
const UNKNOWN_RETRY_MILLISECONDS = 500;

/**
 * Stands for the pool of a draw while a box that has just started knows none.
 */
const NO_POOL_YET = '';

const ADMITTED: Admission = {kind: 'admitted'};

/** A draw that has no reply yet. */
interface PendingDraw {
  readonly customer: string;
  readonly pool: string;
  readonly askedAt: number;
}

/** A deterministic state machine: its actions depend on (now, event) alone. */
export class LimitClient {
  private readonly customers = new Map<string, CustomerTokens>();
  private readonly pendingDraws = new Map<string, PendingDraw>();
  private readonly links: PoolLinks;

  constructor(private readonly box: string) {
    this.links = new PoolLinks(box);
  }

  /** A call of a rate-limited customer arrived; the decision may come later. */
  callArrived(
    now: number,
    callId: string,
    customer: string,
  ): readonly LimitAction[] {
    const tokens = this.tokensFor(customer);
    tokens.recordCall(now);
    if (tokens.take(now)) {
      return [decision(callId, ADMITTED)];
    }
    tokens.waiting.push(callId);
    return this.draw(now, customer, tokens);
  }

  /** Renews loans, refills local stocks and gives up on unresponsive pools. */
  tick(now: number, fleet: LimitFleet): readonly LimitAction[] {
    const sends = this.links
      .tick(now, fleet)
      .map((update) =>
        this.createRequest(update, this.refillDraws(now, update.pool)),
      );
    const unresponsive = this.links
      .newlyUnresponsive(now)
      .map((box): LimitAction => ({kind: 'pool-unresponsive', box}));
    return [...this.expireDraws(now), ...unresponsive, ...sends];
  }

  /** Retries draws that timed out at the next pool. */
  expireDraws(now: number): readonly LimitAction[] {
    return [...this.pendingDraws.values()]
      .filter(({askedAt}) => now - askedAt >= REPLY_TIMEOUT_MILLISECONDS)
      .flatMap((draw) => this.drawTimedOut(now, draw));
  }

  /** A pool replied. */
  replyReceived(now: number, reply: LimitReply): readonly LimitAction[] {
    const wasStarting = this.links.isStarting;
    const loans = this.links.replyReceived(now, reply);
    const grantActions = reply.grants.flatMap((grant) =>
      this.applyGrant(now, reply.box, grant),
    );
    return [
      ...loans.map((update) => this.createRequest(update, [])),
      ...grantActions,
      ...(wasStarting ? this.drawPending(now) : []),
    ];
  }

  /** The clock jumped ahead by a time that may not have passed. */
  clockGained(milliseconds: number): void {
    this.links.clockGained(milliseconds);
  }

  /** An admitted call did not run and never will: its token is returned. */
  callNotRun(now: number, customer: string): void {
    this.customers.get(customer)?.returnToken(now);
  }

  /**
   * A limit was changed or removed: tokens drawn under the old one are void.
   */
  limitChanged(customer: string): void {
    this.customers.get(customer)?.clear();
  }

  private createRequest(
    {pool, loan}: PoolUpdate,
    draws: readonly Draw[],
  ): LimitAction {
    return send(pool, {kind: 'limit-request', box: this.box, loan, draws});
  }

  private tokensFor(customer: string): CustomerTokens {
    const found = this.customers.get(customer);
    if (found !== undefined) {
      return found;
    }
    const created = new CustomerTokens();
    this.customers.set(customer, created);
    return created;
  }

  /** Draws from the first responsive pool that is not known to be empty. */
  private draw(
    now: number,
    customer: string,
    tokens: CustomerTokens,
  ): readonly LimitAction[] {
    if (this.pendingDraws.has(customer) || tokens.waiting.length === 0) {
      return [];
    }
    const pools = this.links.activePools.poolsOf(customer);
    const pool = pools.find(
      (name) => this.links.isResponsive(name) && !tokens.isEmptyAt(now, name),
    );
    if (pool === undefined && this.links.isStarting) {
      this.pendingDraws.set(customer, {
        customer,
        pool: NO_POOL_YET,
        askedAt: now,
      });
      return [];
    }
    if (pool === undefined) {
      return this.refuseWaiting(now, customer, tokens);
    }
    this.pendingDraws.set(customer, {customer, pool, askedAt: now});
    const draws = [createDraw(now, customer, tokens)];
    const loan = undefined;
    return [send(pool, {kind: 'limit-request', box: this.box, loan, draws})];
  }

  /** The first pool replied: calls that waited for one can draw. */
  private drawPending(now: number): readonly LimitAction[] {
    return [...this.pendingDraws.values()]
      .filter(({pool}) => pool === NO_POOL_YET)
      .flatMap(({customer}) => {
        this.pendingDraws.delete(customer);
        const tokens = this.customers.get(customer);
        return tokens === undefined ? [] : this.draw(now, customer, tokens);
      });
  }

  /**
   * Adds draws for low or overfull local stocks to a message that is due
   * anyway.
   */
  private refillDraws(now: number, pool: string): readonly Draw[] {
    const draws: Draw[] = [];
    for (const [customer, tokens] of this.customers) {
      if (tokens.isExpired(now)) {
        this.customers.delete(customer);
        continue;
      }
      const first = this.links.activePools.poolsOf(customer)[0];
      const isDue = tokens.needsRefill(now) || tokens.surplus(now) > 0;
      if (first === pool && isDue && !this.pendingDraws.has(customer)) {
        this.pendingDraws.set(customer, {customer, pool, askedAt: now});
        draws.push(createDraw(now, customer, tokens));
      }
    }
    return draws;
  }

  private applyGrant(
    now: number,
    pool: string,
    {customer, tokens: count, retryAfterMilliseconds}: Grant,
  ): readonly LimitAction[] {
    const pending = this.pendingDraws.get(customer);
    const tokens = this.customers.get(customer);
    if (pending?.pool !== pool || tokens === undefined) {
      // The draw has timed out, so the age of its tokens is not known.
      return [];
    }
    this.pendingDraws.delete(customer);
    tokens.add(pending.askedAt, count);
    if (retryAfterMilliseconds > 0) {
      const retryMilliseconds = Math.min(
        retryAfterMilliseconds,
        EMPTY_POOL_RETRY_MILLISECONDS,
      );
      tokens.markEmpty(
        pool,
        now + retryMilliseconds,
        now + retryAfterMilliseconds,
      );
    }
    return [...this.admit(now, tokens), ...this.draw(now, customer, tokens)];
  }

  private admit(now: number, tokens: CustomerTokens): readonly LimitAction[] {
    const actions: LimitAction[] = [];
    while (tokens.waiting.length > 0 && tokens.take(now)) {
      const callId = tokens.waiting.shift() as string;
      actions.push(decision(callId, ADMITTED));
    }
    return actions;
  }

  private drawTimedOut(
    now: number,
    {customer, pool}: PendingDraw,
  ): readonly LimitAction[] {
    this.pendingDraws.delete(customer);
    this.links.markUnresponsive(pool);
    const tokens = this.customers.get(customer);
    return tokens === undefined ? [] : this.draw(now, customer, tokens);
  }

  private refuseWaiting(
    now: number,
    customer: string,
    tokens: CustomerTokens,
  ): readonly LimitAction[] {
    const pools = this.links.activePools.poolsOf(customer);
    const isOverLimit = pools.some((pool) => tokens.isEmptyAt(now, pool));
    const admission: Admission = isOverLimit
      ? {
          kind: 'over-limit',
          retryAfterMilliseconds: tokens.earliestAvailability(pools) - now,
        }
      : {
          kind: 'unknown',
          retryAfterMilliseconds: UNKNOWN_RETRY_MILLISECONDS,
        };
    return tokens.waiting.splice(0).map((id) => decision(id, admission));
  }
}

function decision(callId: string, admission: Admission): LimitAction {
  return {kind: 'decided', callId, admission};
}

function send(box: string, request: LimitRequest): LimitAction {
  return {kind: 'send', box, request};
}

function createDraw(
  now: number,
  customer: string,
  tokens: CustomerTokens,
): Draw {
  const returned = tokens.takeSurplus(now);
  return {
    customer,
    held: tokens.count(now),
    waiting: tokens.waiting.length,
    stock: tokens.deficit(now),
    returned,
  };
}
