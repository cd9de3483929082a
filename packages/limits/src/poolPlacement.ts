// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Selects the boxes that run token pools, and the pools of each customer. */

import {stableHash} from '@lockpin/utils';

/**
 * Every box contacts every pool regularly, so there must be few pools; each
 * pool serves the draws of its customers, so there must be more than one.
 */
const BOXES_PER_POOL = 32;

/** Bounds the messages that one box sends, however large the fleet is. */
const MAXIMUM_POOLS = 64;

/** With two pools, one may fail without warning. */
const MINIMUM_POOLS = 2;

/**
 * Shares of a customer's limit at its first and its second pool. A customer
 * that uses five eighths of its limit is served by the first pool alone; if
 * that one fails, its calls continue on the second pool's share.
 */
const LIMIT_SHARES: readonly number[] = [0.75, 0.25];

/**
 * Selects the boxes that run pools; the same on all nodes that know the same
 * boxes.
 */
export function selectPools(boxes: readonly string[]): readonly string[] {
  const targetCount = Math.ceil(boxes.length / BOXES_PER_POOL);
  const count = Math.min(MAXIMUM_POOLS, Math.max(MINIMUM_POOLS, targetCount));
  return rankByHash(boxes, (box) => `pool ${box}`).slice(0, count);
}

/** An immutable set of pools that share the boxes' limits. */
export class PoolSet {
  /** Identifies the set on the wire. */
  readonly digest: number;
  private readonly byCustomer = new Map<string, readonly string[]>();

  constructor(readonly names: readonly string[]) {
    this.digest = stableHash([...names].sort().join(' '));
  }

  /** The pools of a customer, the preferred one first. */
  poolsOf(customer: string): readonly string[] {
    const found = this.byCustomer.get(customer);
    if (found !== undefined) {
      return found;
    }
    const ranking = rankByHash(this.names, (pool) => `${customer} ${pool}`);
    const customerPools = ranking.slice(0, LIMIT_SHARES.length);
    this.byCustomer.set(customer, customerPools);
    return customerPools;
  }

  /**
   * The share of a customer's limit that a pool has; 0 if it is not a pool of
   * the customer.
   */
  shareOf(pool: string, customer: string): number {
    const customerPools = this.poolsOf(customer);
    const index = customerPools.indexOf(pool);
    return customerPools.length === 1 && index === 0
      ? 1
      : (LIMIT_SHARES[index] ?? 0);
  }
}

function rankByHash(
  names: readonly string[],
  textOf: (name: string) => string,
): readonly string[] {
  return names
    .map((name) => ({name, rank: stableHash(textOf(name))}))
    .sort((a, b) => a.rank - b.rank)
    .map(({name}) => name);
}
