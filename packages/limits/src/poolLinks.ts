// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * The token pools that a box lends its share of all limits to. It never lends
 * the same share twice: an unresponsive pool keeps its loan until the loan
 * expires, and only then do the other pools get that share. A pool that returns
 * gets its share once the others have confirmed that they gave it up.
 */

import type {LimitReply, Loan, PoolTimestamp} from './limitMessages.js';
import {PoolSet, selectPools} from './poolPlacement.js';
import {LOAN_DURATION_MILLISECONDS} from './tokenPool.js';

/**
 * Interval between loans to a pool; one message may be lost before a loan
 * expires. Each message costs a box as much as an offer, so they are kept rare.
 */
const RENEWAL_INTERVAL_MILLISECONDS = 2380;

/** A pool is unresponsive if a message to it is unanswered for this long. */
const REPLY_OVERDUE_MILLISECONDS = 700;

/** A message due to a pool, with a loan if one can be given. */
export interface PoolUpdate {
  readonly pool: string;
  readonly loan: Loan | undefined;
}

/** The fleet membership that rate limiting depends on. */
export interface LimitFleet {
  /** Number of boxes that may lend a share. */
  readonly boxes: number;
  /** Boxes that may run a pool; the same array until the membership changes. */
  readonly candidates: readonly string[];
}

interface PoolLink {
  moment: PoolTimestamp | undefined;
  /** Time of the earliest message that has no reply yet. */
  unansweredSince: number | undefined;
  /** The pool may accrue tokens from this box's share until then. */
  loanedUntil: number;
  /**
   * Digest of the pool set sent last; undefined if the pool does not know the
   * set.
   */
  sentPoolsDigest: number | undefined;
  /** The pool has had no loan in the current pool set. */
  isNew: boolean;
  /** Expiry of the last loan given under the previous pool set. */
  earlierUntil: number;
  /** Digest of the pool set that the pool last confirmed. */
  confirmedDigest: number;
  isUnresponsive: boolean;
}

/** Selects the active pools and decides when each is contacted. */
export class PoolLinks {
  private readonly links = new Map<string, PoolLink>();
  private pools = new PoolSet([]);
  private nextRenewalAt = 0;
  private boxes = 0;
  private preferredPools: readonly string[] = [];
  private preferredFrom: readonly string[] | undefined;
  /** Since when no pool responds; undefined while one does. */
  private isolatedSince: number | undefined;

  constructor(private readonly box: string) {}

  /** The pools that this box's share is divided among. */
  get activePools(): PoolSet {
    return this.pools;
  }

  /** Whether the pool is responsive. */
  isResponsive(pool: string): boolean {
    return this.links.get(pool)?.isUnresponsive === false;
  }

  /** Records a reply. Pools that may now be lent to get a loan at once. */
  replyReceived(
    now: number,
    {box, moment, poolsDigest, lacksPools}: LimitReply,
  ): readonly PoolUpdate[] {
    const link = this.links.get(box);
    if (link === undefined) {
      return [];
    }
    const isNewProcess = link.moment?.process !== moment.process;
    link.moment = moment;
    link.confirmedDigest = poolsDigest;
    link.unansweredSince = undefined;
    link.isUnresponsive = false;
    if (isNewProcess) {
      // The previous process's loans ended with it.
      link.loanedUntil = 0;
      link.earlierUntil = 0;
    }
    this.updateActivePools(now);
    if (isNewProcess || lacksPools) {
      link.sentPoolsDigest = undefined;
    }
    // This reply may also free the share that another new pool waits for.
    return this.pools.names
      .filter((pool) => this.needsLoan(pool) && this.canLend(now, pool))
      .map((pool) => this.createUpdate(now, pool));
  }

  /** Marks a pool that did not reply in time. */
  markUnresponsive(pool: string): void {
    const link = this.links.get(pool);
    if (link !== undefined) {
      link.isUnresponsive = true;
    }
  }

  /** Whether no pool has replied yet. */
  get isStarting(): boolean {
    return this.pools.names.length === 0;
  }

  /**
   * Pools that have newly exceeded the reply timeout; each time-out is reported
   * once.
   */
  newlyUnresponsive(now: number): readonly string[] {
    const overdue: string[] = [];
    for (const [pool, link] of this.links) {
      const {unansweredSince} = link;
      if (
        unansweredSince !== undefined &&
        now - unansweredSince > REPLY_OVERDUE_MILLISECONDS
      ) {
        link.isUnresponsive = true;
        link.unansweredSince = now;
        overdue.push(pool);
      }
    }
    return overdue;
  }

  /**
   * The clock jumped ahead by a time that may not have passed. Loans are
   * extended by it, so that a share still lent is not lent to others.
   */
  clockGained(milliseconds: number): void {
    for (const link of this.links.values()) {
      link.loanedUntil += milliseconds;
      link.earlierUntil += milliseconds;
    }
  }

  /** Returns the messages due now. */
  tick(now: number, fleet: LimitFleet): readonly PoolUpdate[] {
    this.boxes = fleet.boxes;
    this.updatePreferredPools(fleet.candidates);
    this.updateActivePools(now);
    const isDue = now >= this.nextRenewalAt;
    if (isDue) {
      this.nextRenewalAt = now + RENEWAL_INTERVAL_MILLISECONDS;
    }
    // A pool that has not replied may have just started and needs a loan.
    const recipients = new Set([...this.preferredPools, ...this.pools.names]);
    return [...recipients]
      .filter((pool) => isDue || !this.isResponsive(pool))
      .map((pool) => this.createUpdate(now, pool));
  }

  private updatePreferredPools(boxes: readonly string[]): void {
    if (boxes !== this.preferredFrom) {
      this.preferredFrom = boxes;
      this.preferredPools = selectPools(boxes);
    }
    for (const pool of [...this.preferredPools, this.box]) {
      if (!this.links.has(pool)) {
        this.links.set(pool, createLink());
      }
    }
  }

  /**
   * Adds and removes active pools, but only where no share can be lent twice.
   */
  private updateActivePools(now: number): void {
    const targetPools = this.targetPools(now);
    const {names} = this.pools;
    const kept = names.filter(
      (pool) =>
        targetPools.includes(pool) || this.link(pool).loanedUntil >= now,
    );
    const added = targetPools.filter((pool) => !names.includes(pool));
    if (added.length === 0 && kept.length === names.length) {
      return;
    }
    for (const link of this.links.values()) {
      link.earlierUntil = link.loanedUntil;
    }
    added.forEach((pool) => (this.link(pool).isNew = true));
    this.pools = new PoolSet([...kept, ...added]);
    this.nextRenewalAt = now;
  }

  /**
   * After the last loan has expired, a box that reaches no pool becomes the
   * pool of its own share.
   */
  private targetPools(now: number): readonly string[] {
    const responsive = this.preferredPools.filter((pool) =>
      this.isResponsive(pool),
    );
    if (responsive.length > 0) {
      this.isolatedSince = undefined;
      return responsive;
    }
    this.isolatedSince ??= now;
    return now - this.isolatedSince > LOAN_DURATION_MILLISECONDS
      ? [this.box]
      : [];
  }

  /** The pool has no loan in the current pool set. */
  private needsLoan(pool: string): boolean {
    const {isNew, sentPoolsDigest} = this.link(pool);
    return isNew || sentPoolsDigest === undefined;
  }

  private canLend(now: number, pool: string): boolean {
    const {isUnresponsive, moment, isNew} = this.link(pool);
    const isUsed = this.pools.names.includes(pool) && !isUnresponsive;
    return isUsed && moment !== undefined && (!isNew || this.isFree(now, pool));
  }

  /**
   * Whether all other pools have given up the share that a new pool is to get.
   */
  private isFree(now: number, added: string): boolean {
    const {names, digest} = this.pools;
    return names.every((pool) => {
      const {earlierUntil, confirmedDigest} = this.link(pool);
      return pool === added || earlierUntil < now || confirmedDigest === digest;
    });
  }

  private createUpdate(now: number, pool: string): PoolUpdate {
    const link = this.link(pool);
    link.unansweredSince ??= now;
    if (link.moment === undefined || !this.canLend(now, pool)) {
      return {pool, loan: undefined};
    }
    link.loanedUntil = now + LOAN_DURATION_MILLISECONDS;
    link.isNew = false;
    const {digest, names} = this.pools;
    const pools = link.sentPoolsDigest === digest ? undefined : names;
    link.sentPoolsDigest = digest;
    const {boxes} = this;
    const loan = {since: link.moment, boxes, poolsDigest: digest, pools};
    return {pool, loan};
  }

  private link(pool: string): PoolLink {
    const link = this.links.get(pool) ?? createLink();
    this.links.set(pool, link);
    return link;
  }
}

function createLink(): PoolLink {
  return {
    moment: undefined,
    unansweredSince: undefined,
    loanedUntil: 0,
    sentPoolsDigest: undefined,
    isNew: true,
    earlierUntil: 0,
    confirmedDigest: 0,
    isUnresponsive: true,
  };
}
