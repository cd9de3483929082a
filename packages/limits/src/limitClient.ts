// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * The limits of customers at a box that takes their calls. It lends its part of all
 * limits to the pools and draws tokens from them. Some calls find one in store; the
 * others are decided by the pool's answer, a few milliseconds later.
 */

import {CustomerTokens} from './customerTokens.js';
import type {Draw, Grant, LimitReply, LimitRequest} from './limitMessages.js';
import {PoolLinks} from './poolLinks.js';
import type {LimitFleet, PoolVisit} from './poolLinks.js';

/** Whether a call is within its customer's limit. */
export type Admission =
  | {readonly kind: 'admitted'}
  /** The customer has called as often as it may. */
  | {readonly kind: 'over-limit'; readonly retryAfterMilliseconds: number}
  /** No pool can be reached; nobody here knows how often it has called. */
  | {readonly kind: 'unknown'; readonly retryAfterMilliseconds: number};

/** What the client wants done. */
export type LimitAction =
  | {
      readonly kind: 'send';
      readonly box: string;
      readonly request: LimitRequest;
    }
  /** A pool does not answer; the connection to it may be dead. */
  | {readonly kind: 'pool-silent'; readonly box: string}
  | {
      readonly kind: 'decided';
      readonly callId: string;
      readonly admission: Admission;
    };

/**
 * A pool answers within a few milliseconds; one that has not after this is passed
 * over, while callers can still be served by the second one.
 */
export const ANSWER_MILLISECONDS = 150;

/**
 * A pool that had nothing is asked again after this. Callers are told when there will
 * be room for all who ask; few of them come back at once, so that a box that did not ask
 * before would refuse what the others leave.
 */
const ASK_AGAIN_MILLISECONDS = 150;

/** When a caller may come back that met no pool: they are found anew within it. */
const UNKNOWN_RETRY_MILLISECONDS = 500;

/** In place of a pool's name while a box that has just started knows none. */
const NO_POOL_YET = '';

const ADMITTED: Admission = {kind: 'admitted'};

/** A question to a pool that was not answered yet. */
interface OpenDraw {
  readonly customer: string;
  readonly pool: string;
  readonly askedAt: number;
}

/** Decides by (now, event) alone. */
export class LimitClient {
  private readonly customers = new Map<string, CustomerTokens>();
  private readonly open = new Map<string, OpenDraw>();
  private readonly links: PoolLinks;

  constructor(private readonly box: string) {
    this.links = new PoolLinks(box);
  }

  /** A call of a customer that has a limit; the answer may come later. */
  arrived(
    now: number,
    callId: string,
    customer: string,
  ): readonly LimitAction[] {
    const tokens = this.tokensOf(customer);
    tokens.called(now);
    if (tokens.take(now)) {
      return [decided(callId, ADMITTED)];
    }
    tokens.waiting.push(callId);
    return this.draw(now, customer, tokens);
  }

  /** Lends to the pools, refills the stores, and passes over silent pools. */
  tick(now: number, fleet: LimitFleet): readonly LimitAction[] {
    const sends = this.links
      .tick(now, fleet)
      .map((visit) => this.tell(visit, this.refills(now, visit.pool)));
    const silent = this.links
      .silent(now)
      .map((box): LimitAction => ({kind: 'pool-silent', box}));
    return [...this.expire(now), ...silent, ...sends];
  }

  /** Goes on without the pools that have not answered in time. */
  expire(now: number): readonly LimitAction[] {
    return [...this.open.values()]
      .filter(({askedAt}) => now - askedAt >= ANSWER_MILLISECONDS)
      .flatMap((draw) => this.unanswered(now, draw));
  }

  /** A pool answered. */
  replied(now: number, reply: LimitReply): readonly LimitAction[] {
    const wasStarting = this.links.isStarting;
    const loans = this.links.heard(now, reply);
    const given = reply.grants.flatMap((grant) =>
      this.granted(now, reply.box, grant),
    );
    return [
      ...loans.map((visit) => this.tell(visit, [])),
      ...given,
      ...(wasStarting ? this.drawAll(now) : []),
    ];
  }

  /** The clock counts this much more time from here on, which may not have passed. */
  clockGained(milliseconds: number): void {
    this.links.clockGained(milliseconds);
  }

  /** A call that was admitted has run nowhere, and will not. */
  notRun(now: number, customer: string): void {
    this.customers.get(customer)?.putBack(now);
  }

  /** A limit was changed or taken away: tokens of the earlier one are worth nothing. */
  limitChanged(customer: string): void {
    this.customers.get(customer)?.drop();
  }

  private tell({pool, loan}: PoolVisit, draws: readonly Draw[]): LimitAction {
    return send(pool, {kind: 'limit-request', box: this.box, loan, draws});
  }

  private tokensOf(customer: string): CustomerTokens {
    const found = this.customers.get(customer);
    if (found !== undefined) {
      return found;
    }
    const made = new CustomerTokens();
    this.customers.set(customer, made);
    return made;
  }

  /** Asks the first pool that answers and has not said that it has none. */
  private draw(
    now: number,
    customer: string,
    tokens: CustomerTokens,
  ): readonly LimitAction[] {
    if (this.open.has(customer) || tokens.waiting.length === 0) {
      return [];
    }
    const pools = this.links.inUse.of(customer);
    const pool = pools.find(
      (name) => this.links.answers(name) && !tokens.isEmptyAt(now, name),
    );
    if (pool === undefined && this.links.isStarting) {
      this.open.set(customer, {customer, pool: NO_POOL_YET, askedAt: now});
      return [];
    }
    if (pool === undefined) {
      return this.refuseAll(now, customer, tokens);
    }
    this.open.set(customer, {customer, pool, askedAt: now});
    const draws = [drawOf(now, customer, tokens)];
    const loan = undefined;
    return [send(pool, {kind: 'limit-request', box: this.box, loan, draws})];
  }

  /** The first pool was heard of: calls waited for that. */
  private drawAll(now: number): readonly LimitAction[] {
    return [...this.open.values()]
      .filter(({pool}) => pool === NO_POOL_YET)
      .flatMap(({customer}) => {
        this.open.delete(customer);
        const tokens = this.customers.get(customer);
        return tokens === undefined ? [] : this.draw(now, customer, tokens);
      });
  }

  /** Stores that run low are filled along with what is told the pool anyway. */
  private refills(now: number, pool: string): readonly Draw[] {
    const draws: Draw[] = [];
    for (const [customer, tokens] of this.customers) {
      if (tokens.isForgotten(now)) {
        this.customers.delete(customer);
        continue;
      }
      const first = this.links.inUse.of(customer)[0];
      const isDue = tokens.wants(now) || tokens.surplus(now) > 0;
      if (first === pool && isDue && !this.open.has(customer)) {
        this.open.set(customer, {customer, pool, askedAt: now});
        draws.push(drawOf(now, customer, tokens));
      }
    }
    return draws;
  }

  private granted(
    now: number,
    pool: string,
    {customer, tokens: count, retryAfterMilliseconds}: Grant,
  ): readonly LimitAction[] {
    const asked = this.open.get(customer);
    const tokens = this.customers.get(customer);
    if (asked?.pool !== pool || tokens === undefined) {
      // Asked too long ago to know when its tokens were made.
      return [];
    }
    this.open.delete(customer);
    tokens.add(asked.askedAt, count);
    if (retryAfterMilliseconds > 0) {
      const pause = Math.min(retryAfterMilliseconds, ASK_AGAIN_MILLISECONDS);
      tokens.emptyAt(pool, now + pause, now + retryAfterMilliseconds);
    }
    return [...this.admit(now, tokens), ...this.draw(now, customer, tokens)];
  }

  private admit(now: number, tokens: CustomerTokens): readonly LimitAction[] {
    const actions: LimitAction[] = [];
    while (tokens.waiting.length > 0 && tokens.take(now)) {
      const callId = tokens.waiting.shift() as string;
      actions.push(decided(callId, ADMITTED));
    }
    return actions;
  }

  private unanswered(
    now: number,
    {customer, pool}: OpenDraw,
  ): readonly LimitAction[] {
    this.open.delete(customer);
    this.links.wasSilent(pool);
    const tokens = this.customers.get(customer);
    return tokens === undefined ? [] : this.draw(now, customer, tokens);
  }

  private refuseAll(
    now: number,
    customer: string,
    tokens: CustomerTokens,
  ): readonly LimitAction[] {
    const pools = this.links.inUse.of(customer);
    const isKnown = pools.some((pool) => tokens.isEmptyAt(now, pool));
    const admission: Admission = isKnown
      ? {
          kind: 'over-limit',
          retryAfterMilliseconds: tokens.roomAt(pools) - now,
        }
      : {
          kind: 'unknown',
          retryAfterMilliseconds: UNKNOWN_RETRY_MILLISECONDS,
        };
    return tokens.waiting.splice(0).map((id) => decided(id, admission));
  }
}

function decided(callId: string, admission: Admission): LimitAction {
  return {kind: 'decided', callId, admission};
}

function send(box: string, request: LimitRequest): LimitAction {
  return {kind: 'send', box, request};
}

function drawOf(now: number, customer: string, tokens: CustomerTokens): Draw {
  const returned = tokens.giveBack(now);
  return {
    customer,
    held: tokens.count(now),
    waiting: tokens.waiting.length,
    stock: tokens.missing(now),
    returned,
  };
}
