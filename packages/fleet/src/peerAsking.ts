// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which peer is asked for a newer configuration, and when. */

import type {RandomSource} from '@lockpin/types';
import type {BoxDirectory} from './boxDirectory.js';
import type {NodeIdentity} from './fleetMessages.js';

/** Time between questions to peers while the store does not answer. */
const QUESTION_MILLISECONDS = 500;

/** While the store does not answer, every other question stays nearby. */
const NEAR_SHARE = 0.5;

/**
 * A version that peers tell of is asked for after this, unless the store has
 * brought it by then: its answers stay within the data centre, and a large
 * configuration that every node fetches from a peer is mostly paid for twice.
 */
const STORE_FIRST_MILLISECONDS = 400;

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
    if (heard === undefined || now - heard.firstAt < STORE_FIRST_MILLISECONDS) {
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

  private isNear(address: string): boolean {
    const {dataCentre} = this.identity;
    return this.directory
      .all()
      .some(
        (box) => box.peerAddress === address && box.dataCentre === dataCentre,
      );
  }
}
