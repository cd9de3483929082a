// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which boxes keep the tokens of customers, and which of them a customer's. */

import {stableHash} from '@lockpin/utils';

/**
 * Each box tells every pool of itself again and again, so that pools are few; each
 * pool answers for its customers, so that they are not one.
 */
const BOXES_PER_POOL = 32;

/** Messages of one box grow with the pools, however large the fleet. */
const MOST_POOLS = 64;

/** With two, one may go without a word. */
const LEAST_POOLS = 2;

/**
 * Parts of a customer's limit at its first and at its second pool. A customer that
 * makes five calls of eight that it may make is served by the first alone; with the
 * first one gone, its calls go on with the second one's part.
 */
const PARTS: readonly number[] = [0.75, 0.25];

/** The boxes that keep tokens, the same on all nodes that know the same boxes. */
export function poolsAmong(boxes: readonly string[]): readonly string[] {
  const wanted = Math.ceil(boxes.length / BOXES_PER_POOL);
  const count = Math.min(MOST_POOLS, Math.max(LEAST_POOLS, wanted));
  return ranked(boxes, (box) => `pool ${box}`).slice(0, count);
}

/** Pools that share the parts of boxes; the same object as long as they do. */
export class PoolSet {
  /** Names the set on the wire. */
  readonly digest: number;
  private readonly byCustomer = new Map<string, readonly string[]>();

  constructor(readonly names: readonly string[]) {
    this.digest = stableHash([...names].sort().join(' '));
  }

  /** The pools of a customer, the first one first. */
  of(customer: string): readonly string[] {
    const found = this.byCustomer.get(customer);
    if (found !== undefined) {
      return found;
    }
    const made = ranked(this.names, (pool) => `${customer} ${pool}`);
    const own = made.slice(0, PARTS.length);
    this.byCustomer.set(customer, own);
    return own;
  }

  /** The part of a customer's limit that a pool has; 0 for one that is not its. */
  partOf(pool: string, customer: string): number {
    const own = this.of(customer);
    const place = own.indexOf(pool);
    return own.length === 1 && place === 0 ? 1 : (PARTS[place] ?? 0);
  }
}

function ranked(
  names: readonly string[],
  textOf: (name: string) => string,
): readonly string[] {
  return names
    .map((name) => ({name, rank: stableHash(textOf(name))}))
    .sort((a, b) => a.rank - b.rank)
    .map(({name}) => name);
}
