// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * The pools that a box lends its part to. It never lends the same part twice: a pool
 * that falls silent keeps what it was lent until the loan has ended, and only then do
 * the others share it; one that comes back gets its share once the others have said
 * that they have given it up.
 */

import type {LimitReply, Loan, PoolMoment} from './limitMessages.js';
import {PoolSet, poolsAmong} from './poolPlacement.js';
import {LOAN_MILLISECONDS} from './tokenPool.js';

/**
 * Time between two loans to a pool; one may be lost before it lapses. Each message costs
 * a box as much as an offer, so that they are rare.
 */
const RENEWAL_MILLISECONDS = 2380;

/** A pool that has said nothing for this long since it was told something is silent. */
const SILENCE_MILLISECONDS = 700;

/** What is to be told a pool. */
export interface PoolVisit {
  readonly pool: string;
  readonly loan: Loan | undefined;
}

/** The fleet, as far as the limits go by it. */
export interface LimitFleet {
  /** All boxes that may lend a part. */
  readonly boxes: number;
  /** Boxes that may keep tokens; the same list until something changes. */
  readonly candidates: readonly string[];
}

interface PoolLink {
  moment: PoolMoment | undefined;
  /** When it was first told something that it has not answered. */
  toldAt: number | undefined;
  /** It may make tokens of this box's part until then. */
  lentUntil: number;
  /** The digest of the pools that it was told last; undefined when it lacks them. */
  knowsPools: number | undefined;
  /** Nothing was lent to it since the pools were others. */
  isNew: boolean;
  /** What it was lent while the pools were others lasts until then. */
  earlierUntil: number;
  /** The pools that it last said the loan is shared among. */
  confirmed: number;
  isSilent: boolean;
}

/** Decides which pools are used, and when each is told. */
export class PoolLinks {
  private readonly links = new Map<string, PoolLink>();
  private pools = new PoolSet([]);
  private nextAt = 0;
  private boxes = 0;
  private ideal: readonly string[] = [];
  private idealOf: readonly string[] | undefined;
  /** Since when no pool answers; undefined while one does. */
  private aloneSince: number | undefined;

  constructor(private readonly box: string) {}

  /** The pools that share this box's part now. */
  get inUse(): PoolSet {
    return this.pools;
  }

  /** Whether a pool is worth asking. */
  answers(pool: string): boolean {
    return this.links.get(pool)?.isSilent === false;
  }

  /** A pool said something; one that has nothing from this box is lent to at once. */
  heard(
    now: number,
    {box, moment, poolsDigest, lacksPools}: LimitReply,
  ): readonly PoolVisit[] {
    const link = this.links.get(box);
    if (link === undefined) {
      return [];
    }
    const isOther = link.moment?.process !== moment.process;
    link.moment = moment;
    link.confirmed = poolsDigest;
    link.toldAt = undefined;
    link.isSilent = false;
    if (isOther) {
      // What was lent to the process before ended with it.
      link.lentUntil = 0;
      link.earlierUntil = 0;
    }
    this.choose(now);
    if (isOther || lacksPools) {
      link.knowsPools = undefined;
    }
    // With this answer a new pool may have become free to lend to as well.
    return this.pools.names
      .filter((pool) => this.lacksLoan(pool) && this.mayLend(now, pool))
      .map((pool) => this.visit(now, pool));
  }

  /** A pool did not answer in time. */
  wasSilent(pool: string): void {
    const link = this.links.get(pool);
    if (link !== undefined) {
      link.isSilent = true;
    }
  }

  /** Whether no pool has been heard of yet. */
  get isStarting(): boolean {
    return this.pools.names.length === 0;
  }

  /** The pools that have fallen silent since, each once for each such time. */
  silent(now: number): readonly string[] {
    const found: string[] = [];
    for (const [pool, link] of this.links) {
      const {toldAt} = link;
      if (toldAt !== undefined && now - toldAt > SILENCE_MILLISECONDS) {
        link.isSilent = true;
        link.toldAt = now;
        found.push(pool);
      }
    }
    return found;
  }

  /**
   * The clock counts this much more time from here on, which may not have passed: what
   * was lent is not yet free to be lent to others.
   */
  clockGained(milliseconds: number): void {
    for (const link of this.links.values()) {
      link.lentUntil += milliseconds;
      link.earlierUntil += milliseconds;
    }
  }

  /** Whom to tell now. */
  tick(now: number, fleet: LimitFleet): readonly PoolVisit[] {
    this.boxes = fleet.boxes;
    this.wantPools(fleet.candidates);
    this.choose(now);
    const isDue = now >= this.nextAt;
    if (isDue) {
      this.nextAt = now + RENEWAL_MILLISECONDS;
    }
    // One that has not answered may have just started, and waits for loans.
    const told = new Set([...this.ideal, ...this.pools.names]);
    return [...told]
      .filter((pool) => isDue || !this.answers(pool))
      .map((pool) => this.visit(now, pool));
  }

  private wantPools(boxes: readonly string[]): void {
    if (boxes !== this.idealOf) {
      this.idealOf = boxes;
      this.ideal = poolsAmong(boxes);
    }
    for (const pool of [...this.ideal, this.box]) {
      if (!this.links.has(pool)) {
        this.links.set(pool, newLink());
      }
    }
  }

  /** Takes pools in and out of use, where no part can be lent twice by it. */
  private choose(now: number): void {
    const wanted = this.wanted(now);
    const {names} = this.pools;
    const kept = names.filter(
      (pool) => wanted.includes(pool) || this.link(pool).lentUntil >= now,
    );
    const added = wanted.filter((pool) => !names.includes(pool));
    if (added.length === 0 && kept.length === names.length) {
      return;
    }
    for (const link of this.links.values()) {
      link.earlierUntil = link.lentUntil;
    }
    added.forEach((pool) => (this.link(pool).isNew = true));
    this.pools = new PoolSet([...kept, ...added]);
    this.nextAt = now;
  }

  /** A box that no pool has answered for a while lives on its own part. */
  private wanted(now: number): readonly string[] {
    const alive = this.ideal.filter((pool) => this.answers(pool));
    if (alive.length > 0) {
      this.aloneSince = undefined;
      return alive;
    }
    this.aloneSince ??= now;
    return now - this.aloneSince > LOAN_MILLISECONDS ? [this.box] : [];
  }

  /** Nothing of this box's part was lent to the pool as it is now. */
  private lacksLoan(pool: string): boolean {
    const {isNew, knowsPools} = this.link(pool);
    return isNew || knowsPools === undefined;
  }

  private mayLend(now: number, pool: string): boolean {
    const {isSilent, moment, isNew} = this.link(pool);
    const isUsed = this.pools.names.includes(pool) && !isSilent;
    return isUsed && moment !== undefined && (!isNew || this.isFree(now, pool));
  }

  /** Whether the other pools have given up what a new one is to be lent. */
  private isFree(now: number, added: string): boolean {
    const {names, digest} = this.pools;
    return names.every((pool) => {
      const {earlierUntil, confirmed} = this.link(pool);
      return pool === added || earlierUntil < now || confirmed === digest;
    });
  }

  private visit(now: number, pool: string): PoolVisit {
    const link = this.link(pool);
    link.toldAt ??= now;
    if (link.moment === undefined || !this.mayLend(now, pool)) {
      return {pool, loan: undefined};
    }
    link.lentUntil = now + LOAN_MILLISECONDS;
    link.isNew = false;
    const {digest, names} = this.pools;
    const pools = link.knowsPools === digest ? undefined : names;
    link.knowsPools = digest;
    const {boxes} = this;
    const loan = {since: link.moment, boxes, poolsDigest: digest, pools};
    return {pool, loan};
  }

  private link(pool: string): PoolLink {
    const found = this.links.get(pool) ?? newLink();
    this.links.set(pool, found);
    return found;
  }
}

function newLink(): PoolLink {
  return {
    moment: undefined,
    toldAt: undefined,
    lentUntil: 0,
    knowsPools: undefined,
    isNew: true,
    earlierUntil: 0,
    confirmed: 0,
    isSilent: true,
  };
}
