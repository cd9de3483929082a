// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Selects the peers to query for a newer configuration, and the time of each
 * query.
 */

import type {RandomSource} from '@lockpin/types';
import {STABLE_HASH_RANGE, stableHash} from '@lockpin/utils';
import type {BoxDirectory} from './boxDirectory.js';
import type {NodeIdentity} from './nodeIdentity.js';
import {preferredReaders} from './preferredReaders.js';
import {STARTUP_PEERS} from './startupCheck.js';

/** Interval between queries to peers while the store does not answer. */
const QUERY_INTERVAL_MILLISECONDS = 500;

/**
 * Fraction of the queries that stay in the own data centre while the store does
 * not answer. Data known in one data centre has to reach the others, but not
 * with every query.
 */
const LOCAL_QUERY_SHARE = 0.8;

/**
 * Time that the store is given to deliver a reported version before a peer is
 * queried for it: the store's answers stay within the data centre, while
 * traffic of a large configuration that every node fetches from a peer mostly
 * costs twice.
 */
const STORE_GRACE_MILLISECONDS = 400;

/**
 * Nodes that only know of a peer in another data centre wait up to this much
 * longer, each by its own offset: the first one to query passes the version on
 * to its neighbours.
 */
const REMOTE_SPREAD_MILLISECONDS = 500;

/**
 * After this time without the newer version, another peer is queried as well.
 */
const REPLY_TIMEOUT_MILLISECONDS = 400;

/**
 * Failed queries to one peer after which it has to report its version again.
 */
const MAXIMUM_FAILED_QUERIES = 3;

/** A newer version that a peer has in force. */
interface ReportedVersion {
  readonly version: number;
  /** Queries for it that were lost or answered with an earlier version. */
  readonly failedQueries: number;
}

/** Selects addresses to query; each has at most one query pending. */
export class PeerSelector {
  private readonly pending = new Set<string>();
  /**
   * By the address of the peer. Kept until the version is in force here: peers
   * report a version once, and a query may be lost or be answered with an
   * earlier version.
   */
  private readonly reported = new Map<string, ReportedVersion>();
  /** When a peer first reported a version that is not in force here. */
  private firstReportedAt = 0;
  /** No further peer is queried for a reported version before this time. */
  private nextQueryAt = 0;
  private storeGrace = 0;
  private nextPeriodicQueryAt = 0;

  constructor(
    private readonly identity: NodeIdentity,
    private readonly directory: BoxDirectory,
  ) {}

  /**
   * A peer has a newer version; a node that reads the store gives the store
   * time to deliver it.
   */
  newerVersionReported(
    now: number,
    address: string,
    version: number,
    readsStore: boolean,
  ): void {
    this.storeGrace = readsStore ? STORE_GRACE_MILLISECONDS : 0;
    if (this.reported.size === 0) {
      this.firstReportedAt = now;
      this.nextQueryAt = now;
    }
    this.reported.set(address, {version, failedQueries: 0});
  }

  /** A newer version came into force, from whichever source. */
  versionAdopted(inForce: number): void {
    for (const [address, {version}] of this.reported) {
      if (version <= inForce) {
        this.reported.delete(address);
      }
    }
  }

  /** The peer to query because the store did not deliver a reported version. */
  fallbackPeer(now: number): string | undefined {
    if (this.reported.size === 0 || now < this.nextQueryAt) {
      return undefined;
    }
    const address = [...this.reported.keys()]
      .filter((peer) => !this.pending.has(peer))
      .filter((peer) => now - this.firstReportedAt >= this.delayFor(peer))
      .sort(
        (a, b) =>
          Number(this.isInOwnDataCentre(b)) - Number(this.isInOwnDataCentre(a)),
      )[0];
    if (address !== undefined) {
      this.nextQueryAt = now + REPLY_TIMEOUT_MILLISECONDS;
    }
    return address;
  }

  /** The peer to query while the store does not answer, if a query is due. */
  peerWithoutStore(now: number, random: RandomSource): string | undefined {
    const {dataCentre} = this.identity;
    return this.ifDue(now, () => {
      const others = this.others(this.directory.all());
      const near = others.filter((record) => record.dataCentre === dataCentre);
      const pool =
        near.length > 0 && random() < LOCAL_QUERY_SHARE ? near : others;
      return pickRandom(pool, random);
    });
  }

  /**
   * The peer to send the own record to while the store does not take it, if one
   * is due: a reader of any data centre, since readers notify all others.
   */
  peerForOwnRecord(now: number, random: RandomSource): string | undefined {
    return this.ifDue(now, () => {
      const readers = this.directory.dataCentres.flatMap((dataCentre) =>
        preferredReaders(this.directory, dataCentre),
      );
      return pickRandom(this.others(readers), random);
    });
  }

  /**
   * Peers that a newly started node queries: the readers of its data centre
   * know the most, and one node elsewhere still has the data if they have just
   * started as well.
   */
  peersAtStart(random: RandomSource): readonly string[] {
    const {dataCentre} = this.identity;
    const near = this.others(preferredReaders(this.directory, dataCentre));
    const others = this.others(this.directory.all()).filter(
      ({box}) => !near.some((reader) => reader.box === box),
    );
    const far = others.filter((record) => record.dataCentre !== dataCentre);
    const additional = pickRandom(far.length > 0 ? far : others, random);
    const all = additional === undefined ? near : [...near, additional];
    return all.slice(0, STARTUP_PEERS).map(({peerAddress}) => peerAddress);
  }

  private ifDue(
    now: number,
    choose: () => NodeIdentity | undefined,
  ): string | undefined {
    if (now < this.nextPeriodicQueryAt) {
      return undefined;
    }
    this.nextPeriodicQueryAt = now + QUERY_INTERVAL_MILLISECONDS;
    return choose()?.peerAddress;
  }

  private others(records: readonly NodeIdentity[]): readonly NodeIdentity[] {
    return records.filter(({box}) => box !== this.identity.box);
  }

  /** Whether a reply from any peer is pending. */
  get hasPendingQuery(): boolean {
    return this.pending.size > 0;
  }

  /** Marks a query to this address as pending; false if one already is. */
  beginQuery(address: string): boolean {
    if (this.pending.has(address)) {
      return false;
    }
    this.pending.add(address);
    return true;
  }

  /** A query ended: with the version of the reply, or 0 if there was none. */
  queryEnded(address: string, replyVersion: number): void {
    this.pending.delete(address);
    const reported = this.reported.get(address);
    if (reported === undefined || replyVersion >= reported.version) {
      return;
    }
    const failedQueries = reported.failedQueries + 1;
    if (failedQueries < MAXIMUM_FAILED_QUERIES) {
      this.reported.set(address, {...reported, failedQueries});
    } else {
      this.reported.delete(address);
    }
  }

  /**
   * The time given to the store, and then to neighbours, before this peer is
   * queried.
   */
  private delayFor(address: string): number {
    const {box} = this.identity;
    const ownShare = this.isInOwnDataCentre(address)
      ? 0
      : stableHash(box) / STABLE_HASH_RANGE;
    return this.storeGrace + ownShare * REMOTE_SPREAD_MILLISECONDS;
  }

  private isInOwnDataCentre(address: string): boolean {
    const {dataCentre} = this.identity;
    return this.directory.dataCentreAt(address) === dataCentre;
  }
}

function pickRandom(
  records: readonly NodeIdentity[],
  random: RandomSource,
): NodeIdentity | undefined {
  return records[Math.floor(random() * records.length)];
}
