// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which peer is asked for a newer configuration, and when. */

import type {RandomSource} from '@lockpin/types';
import {STABLE_HASH_RANGE, stableHash} from '@lockpin/utils';
import type {BoxDirectory} from './boxDirectory.js';
import type {BoxRecord} from './boxRecord.js';
import type {NodeIdentity} from './fleetMessages.js';
import {firstReaders} from './recordReaders.js';

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

/** A peer that has not brought the newer version by then is not waited for alone. */
const ANSWER_MILLISECONDS = 400;

/** Newer versions that peers have in force. */
interface HeardVersion {
  /** Peers that have one and were not asked for it yet. */
  readonly addresses: Set<string>;
  /** When any peer first told of a version that is not in force here. */
  readonly firstAt: number;
  /** No further peer is asked before. */
  nextAt: number;
}

/** Chooses addresses to ask; each is asked once until it has replied. */
export class PeerAsking {
  private readonly asked = new Set<string>();
  private heard: HeardVersion | undefined;
  private storePatience = 0;
  private askAfter = 0;

  constructor(
    private readonly identity: NodeIdentity,
    private readonly directory: BoxDirectory,
  ) {}

  /** A peer has a newer version; a node that reads the store lets it come from there. */
  heardOfNewer(now: number, address: string, readsStore: boolean): void {
    this.storePatience = readsStore ? STORE_FIRST_MILLISECONDS : 0;
    this.heard ??= {addresses: new Set(), firstAt: now, nextAt: now};
    if (!this.asked.has(address)) {
      this.heard.addresses.add(address);
    }
  }

  /** A newer version came into force, however it came. */
  versionCame(): void {
    this.heard = undefined;
  }

  /** The peer to ask since the store did not bring what was heard of. */
  overdue(now: number): string | undefined {
    const {heard} = this;
    if (heard === undefined || now < heard.nextAt) {
      return undefined;
    }
    const address = [...heard.addresses]
      .filter((peer) => now - heard.firstAt >= this.patience(peer))
      .sort((a, b) => Number(this.isNear(b)) - Number(this.isNear(a)))[0];
    if (address !== undefined) {
      heard.addresses.delete(address);
      heard.nextAt = now + ANSWER_MILLISECONDS;
    }
    return address;
  }

  /** The peer to ask while the store does not answer, if one is due now. */
  withoutStore(now: number, random: RandomSource): string | undefined {
    const {dataCentre} = this.identity;
    return this.dueNow(now, () => {
      const others = this.others(this.directory.all());
      const near = others.filter((record) => record.dataCentre === dataCentre);
      const pool = near.length > 0 && random() < NEAR_SHARE ? near : others;
      return oneOf(pool, random);
    });
  }

  /**
   * The peer that is to hear what this box states while the store does not take it,
   * if one is due now: a reader of any data centre, since readers tell all others.
   */
  instead(now: number, random: RandomSource): string | undefined {
    return this.dueNow(now, () => {
      const readers = this.directory.dataCentres.flatMap((dataCentre) =>
        firstReaders(this.directory, dataCentre),
      );
      return oneOf(this.others(readers), random);
    });
  }

  private dueNow(
    now: number,
    choose: () => BoxRecord | undefined,
  ): string | undefined {
    if (now < this.askAfter) {
      return undefined;
    }
    this.askAfter = now + QUESTION_MILLISECONDS;
    return choose()?.peerAddress;
  }

  private others(records: readonly BoxRecord[]): readonly BoxRecord[] {
    return records.filter(({box}) => box !== this.identity.box);
  }

  /** Whether some peer has a question that it did not reply to yet. */
  get isAsking(): boolean {
    return this.asked.size > 0;
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
  private patience(address: string): number {
    const {box} = this.identity;
    const ownPart = this.isNear(address)
      ? 0
      : stableHash(box) / STABLE_HASH_RANGE;
    return this.storePatience + ownPart * FAR_SPREAD_MILLISECONDS;
  }

  private isNear(address: string): boolean {
    const {dataCentre} = this.identity;
    return this.directory.dataCentreAt(address) === dataCentre;
  }
}

function oneOf(
  records: readonly BoxRecord[],
  random: RandomSource,
): BoxRecord | undefined {
  return records[Math.floor(random() * records.length)];
}
