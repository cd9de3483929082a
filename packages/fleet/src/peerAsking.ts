// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which peer is asked for a newer configuration, and when. */

import type {RandomSource} from '@lockpin/types';
import {STABLE_HASH_RANGE, stableHash} from '@lockpin/utils';
import type {BoxDirectory} from './boxDirectory.js';
import type {NodeIdentity} from './fleetMessages.js';

/** Time between questions to peers while the store does not answer. */
const QUESTION_MILLISECONDS = 500;

/**
 * Share of the questions that stay nearby while the store does not answer. What is
 * known in one data centre has to reach the others, but not with every question.
 */
const NEAR_SHARE = 0.8;

/**
 * A version that peers tell of is asked for after this, unless the store has
 * brought it by then: its answers stay within the data centre, and a large
 * configuration that every node fetches from a peer is mostly paid for twice.
 */
const STORE_FIRST_MILLISECONDS = 400;

/**
 * Nodes that only know of a peer in another data centre wait up to this much longer,
 * each for its own time: the first to ask passes the version on to its neighbours.
 */
const FAR_SPREAD_MILLISECONDS = 500;

/** A newer version that a peer has in force. */
interface HeardVersion {
  readonly address: string;
  /** When any peer first told of a version that is not in force here. */
  readonly firstAt: number;
}

/** Chooses addresses to ask; each is asked once until it has replied. */
export class PeerAsking {
  private readonly asked = new Set<string>();
  private heard: HeardVersion | undefined;
  private askAfter = 0;

  constructor(
    private readonly identity: NodeIdentity,
    private readonly directory: BoxDirectory,
  ) {}

  /** A peer has a newer version; the store is given the time to bring it. */
  heardOfNewer(now: number, address: string): void {
    const {heard} = this;
    if (
      heard === undefined ||
      (!this.isNear(heard.address) && this.isNear(address))
    ) {
      this.heard = {address, firstAt: heard?.firstAt ?? now};
    }
  }

  /** A newer version came into force, however it came. */
  versionCame(): void {
    this.heard = undefined;
  }

  /** The peer to ask since the store did not bring what was heard of. */
  overdue(now: number): string | undefined {
    const {heard} = this;
    if (heard === undefined || now - heard.firstAt < this.patience(heard)) {
      return undefined;
    }
    this.heard = undefined;
    return heard.address;
  }

  /** The peer to ask while the store does not answer, if one is due now. */
  withoutStore(now: number, random: RandomSource): string | undefined {
    if (now < this.askAfter) {
      return undefined;
    }
    this.askAfter = now + QUESTION_MILLISECONDS;
    const {box: ownBox, dataCentre} = this.identity;
    const others = this.directory.all().filter(({box}) => box !== ownBox);
    const near = others.filter((record) => record.dataCentre === dataCentre);
    const pool = near.length > 0 && random() < NEAR_SHARE ? near : others;
    return pool[Math.floor(random() * pool.length)]?.peerAddress;
  }

  /** Whether a question may be sent there now; notes that it is. */
  begin(address: string): boolean {
    if (this.asked.has(address)) {
      return false;
    }
    this.asked.add(address);
    return true;
  }

  /** A peer replied, or did not answer in time. */
  ended(address: string): void {
    this.asked.delete(address);
  }

  /** How long the store, and after it the neighbours, are given. */
  private patience({address}: HeardVersion): number {
    const {box} = this.identity;
    const ownPart = this.isNear(address)
      ? 0
      : stableHash(box) / STABLE_HASH_RANGE;
    return STORE_FIRST_MILLISECONDS + ownPart * FAR_SPREAD_MILLISECONDS;
  }

  private isNear(address: string): boolean {
    const {dataCentre} = this.identity;
    return this.directory.dataCentreAt(address) === dataCentre;
  }
}
