// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Decides when a node queries its peers, which ones, and for what. */

import type {RandomSource} from '@lockpin/types';
import type {BoxDirectory} from './boxDirectory.js';
import type {ConfigurationInForce} from './configurationInForce.js';
import type {FleetAction, PeerQueryReply, PeerQuery} from './fleetMessages.js';
import type {OwnRecord} from './ownRecord.js';
import type {PeerSelector} from './peerSelector.js';
import type {StoreReaderRole} from './storeReaderRole.js';
import {LateVersionMonitor} from './lateVersionMonitor.js';

/** What a query asks for. */
type QueryContent = 'configuration' | 'with-boxes';

/** Dependencies of the queries. */
export interface PeerQueriesContext {
  readonly inForce: ConfigurationInForce;
  readonly directory: BoxDirectory;
  readonly readerRole: StoreReaderRole;
  readonly ownRecord: OwnRecord;
  readonly peers: PeerSelector;
}

/** Queries peers for what neither the store nor a reader has delivered. */
export class PeerQueries {
  private readonly monitor = new LateVersionMonitor();

  constructor(private readonly context: PeerQueriesContext) {}

  /** The queries that are due now. */
  due(now: number, random: RandomSource): readonly FleetAction[] {
    const fallback = this.context.peers.fallbackPeer(now);
    const queries = [fallback, this.peerInsteadOfStore(now, random)].flatMap(
      (address) =>
        address === undefined
          ? []
          : this.query(address, this.queryContent(now)),
    );
    return [...queries, ...this.monitor.due(now, this.context.inForce.version)];
  }

  /** A peer reported the version in force there. */
  versionReported(
    now: number,
    random: RandomSource,
    address: string,
    version: number,
  ): readonly FleetAction[] {
    const {readerRole, inForce, peers} = this.context;
    this.monitor.versionReported(now, address, version, inForce.version);
    if (!readerRole.hasReadBoxes) {
      // Every peer that calls a newly started node reports its version.
      return peers.hasPendingQuery ? [] : this.query(address, 'with-boxes');
    }
    if (version <= inForce.version) {
      return [];
    }
    readerRole.newerVersionReported(now);
    peers.newerVersionReported(
      now,
      address,
      version,
      readerRole.isServing(now),
    );
    return readerRole.isStale(now)
      ? this.query(address, this.queryContent(now))
      : this.due(now, random);
  }

  /** Queries one peer, unless a reply from it is pending. */
  query(address: string, content: QueryContent): readonly FleetAction[] {
    const {directory, inForce, ownRecord, peers} = this.context;
    if (!peers.beginQuery(address)) {
      return [];
    }
    this.monitor.peerQueried();
    const query: PeerQuery = {
      version: inForce.version,
      boxesDigest: content === 'with-boxes' ? directory.digest : undefined,
      own: ownRecord.latest,
    };
    return [{kind: 'query-peer', address, query}];
  }

  /** A peer replied or timed out. */
  queryEnded(address: string, reply: PeerQueryReply | undefined): void {
    const replyVersion = reply?.configuration?.version ?? 0;
    this.context.peers.queryEnded(address, replyVersion);
    if (reply === undefined) {
      this.monitor.unanswered();
    }
  }

  /**
   * Peers replace a store that does not answer this node or takes no record.
   */
  private peerInsteadOfStore(
    now: number,
    random: RandomSource,
  ): string | undefined {
    const {readerRole, ownRecord, peers} = this.context;
    if (readerRole.isStale(now)) {
      return peers.peerWithoutStore(now, random);
    }
    return ownRecord.hasFailedWrite
      ? peers.peerForOwnRecord(now, random)
      : undefined;
  }

  private queryContent(now: number): QueryContent {
    const {readerRole} = this.context;
    const lacksBoxes = !readerRole.hasReadBoxes || readerRole.isStale(now);
    return lacksBoxes ? 'with-boxes' : 'configuration';
  }
}
