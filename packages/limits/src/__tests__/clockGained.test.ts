// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Pools and lenders when their clock jumps ahead by time that may not have
 * passed: the time of day was set forwards, or the machine was suspended.
 */

import {describe, expect, it} from 'vitest';
import {PoolLinks} from '../poolLinks.js';
import {
  LOAN_DURATION_MILLISECONDS,
  STOCK_LIFETIME_MILLISECONDS,
  TokenPool,
} from '../tokenPool.js';
import {PoolSet, selectPools} from '../poolPlacement.js';
import type {Draw} from '../limitMessages.js';

const CUSTOMER = 'customer';

const POOL = 'pool-box';

const LIMIT = {callsPerSecond: 20, burst: 20};

const NOW = 1_000_000;

/** Shorter than a loan, longer than tokens stay in a local stock. */
const JUMP_MILLISECONDS =
  (LOAN_DURATION_MILLISECONDS + STOCK_LIFETIME_MILLISECONDS) / 2;

const PROCESS = 1;

function createPool(): TokenPool {
  return new TokenPool({
    box: POOL,
    process: PROCESS,
    limitOf: () => LIMIT,
    rules: () => ({windowMilliseconds: 5000, overage: 0.1, slack: 20}),
    boxes: () => 1,
  });
}

function draw(stock: number): Draw {
  return {customer: CUSTOMER, held: 0, waiting: 0, stock, returned: 0};
}

/**
 * Lends all limits to the pool and draws from it; returns the tokens granted.
 */
function drawTokens(
  pool: TokenPool,
  now: number,
  box: string,
  draws: readonly Draw[],
): number {
  const pools = new PoolSet([POOL]);
  const reply = pool.handleRequest(now, {
    kind: 'limit-request',
    box,
    loan: {
      since: {process: PROCESS, at: now},
      boxes: 1,
      poolsDigest: pools.digest,
      pools: pools.names,
    },
    draws,
  });
  return reply.grants[0]?.tokens ?? 0;
}

/** Lends until the pool has accrued its full capacity; returns the time. */
function fill(pool: TokenPool): number {
  let now = NOW;
  for (let i = 0; i < 20; i += 1) {
    now += 1000;
    drawTokens(pool, now, 'lender', []);
    pool.tick(now);
  }
  return now;
}

/**
 * Tokens that two boxes get from a full pool, before and after the clock jump.
 */
function tokensAround(gain: number, isReported: boolean): number {
  const pool = createPool();
  const filledAt = fill(pool);
  const granted = drawTokens(pool, filledAt, 'first', [draw(100)]);
  if (isReported) {
    pool.clockGained(gain);
  }
  const now = filledAt + gain + 100;
  pool.tick(now);
  return granted + drawTokens(pool, now, 'second', [draw(100)]);
}

describe('a pool whose clock jumps ahead', () => {
  it('does not give out anew what boxes may still have in store', () => {
    const withoutJump = tokensAround(0, true);
    expect(tokensAround(JUMP_MILLISECONDS, true)).toBeLessThanOrEqual(
      withoutJump,
    );
    expect(tokensAround(JUMP_MILLISECONDS, false)).toBeGreaterThan(withoutJump);
  });

  it('accrues no tokens from loans that have just begun', () => {
    const tokensAfter = (isReported: boolean): number => {
      const pool = createPool();
      drawTokens(pool, NOW, 'lender', []);
      if (isReported) {
        pool.clockGained(JUMP_MILLISECONDS);
      }
      return drawTokens(pool, NOW + JUMP_MILLISECONDS, 'lender', [draw(100)]);
    };
    expect(tokensAfter(true)).toBe(0);
    expect(tokensAfter(false)).toBeGreaterThan(5);
  });
});

/** Number of active pools of a box after one of two has become unresponsive. */
function poolsAfterTimeout(isReported: boolean): number {
  const links = new PoolLinks('lender');
  const boxes = ['a', 'b', 'c', 'lender'];
  const fleet = {boxes: boxes.length, candidates: boxes};
  const names = selectPools(boxes);
  const receiveReply = (now: number, box: string): void => {
    const moment = {process: PROCESS, at: now};
    const {digest} = links.activePools;
    const reply = {box, moment, poolsDigest: digest, lacksPools: false};
    links.replyReceived(now, {kind: 'limit-reply', ...reply, grants: []});
  };
  for (let i = 0; i < 4; i += 1) {
    links.tick(NOW + i * 1000, fleet);
    names.forEach((name) => receiveReply(NOW + i * 1000, name));
  }
  const now = NOW + 4000;
  links.markUnresponsive(names[0] ?? '');
  if (isReported) {
    links.clockGained(2 * LOAN_DURATION_MILLISECONDS);
  }
  links.tick(now + 2 * LOAN_DURATION_MILLISECONDS, fleet);
  return links.activePools.names.length;
}

describe('a lender whose clock jumps ahead', () => {
  it('leaves its part with a silent pool for as long as the loan lasts', () => {
    expect(poolsAfterTimeout(true)).toBe(2);
    expect(poolsAfterTimeout(false)).toBe(1);
  });
});
