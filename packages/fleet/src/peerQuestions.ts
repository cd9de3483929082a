// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Decides when a node queries its peers, which ones, and for what. */

import type {RandomSource} from '@lockpin/types';
import type {BoxDirectory} from './boxDirectory.js';
import type {ConfigurationInForce} from './configurationInForce.js';
import type {
  FleetAction,
  PeerKnowledge,
  PeerQuestion,
} from './fleetMessages.js';
import type {OwnRecord} from './ownRecord.js';
import type {PeerAsking} from './peerAsking.js';
import type {StoreDuty} from './storeDuty.js';
import {VersionWatch} from './versionWatch.js';

/** What a query asks for. */
type QueryContent = 'configuration' | 'with-boxes';

/** Dependencies of the queries. */
export interface PeerQuestionsContext {
  readonly inForce: ConfigurationInForce;
  readonly directory: BoxDirectory;
  readonly duty: StoreDuty;
  readonly ownRecord: OwnRecord;
  readonly peers: PeerAsking;
}

/** Queries peers for what neither the store nor a reader has delivered. */
export class PeerQuestions {
  private readonly monitor = new VersionWatch();

  constructor(private readonly context: PeerQuestionsContext) {}

  /** The queries that are due now. */
  due(now: number, random: RandomSource): readonly FleetAction[] {
    const fallback = this.context.peers.overdue(now);
    const queries = [fallback, this.peerInsteadOfStore(now, random)].flatMap(
      (address) =>
        address === undefined ? [] : this.ask(address, this.queryContent(now)),
    );
    return [...queries, ...this.monitor.due(now, this.context.inForce.version)];
  }

  /** A peer reported the version in force there. */
  versionHeard(
    now: number,
    random: RandomSource,
    address: string,
    version: number,
  ): readonly FleetAction[] {
    const {duty: readerRole, inForce, peers} = this.context;
    this.monitor.heard(now, address, version, inForce.version);
    if (!readerRole.hasReadBoxes) {
      // Every peer that calls a newly started node reports its version.
      return peers.isAsking ? [] : this.ask(address, 'with-boxes');
    }
    if (version <= inForce.version) {
      return [];
    }
    readerRole.newerVersionHeard(now);
    peers.heardOfNewer(now, address, version, readerRole.isServing(now));
    return readerRole.lacksNews(now)
      ? this.ask(address, this.queryContent(now))
      : this.due(now, random);
  }

  /** Queries one peer, unless a reply from it is pending. */
  ask(address: string, content: QueryContent): readonly FleetAction[] {
    const {directory, inForce, ownRecord, peers} = this.context;
    if (!peers.begin(address)) {
      return [];
    }
    this.monitor.asked();
    const query: PeerQuestion = {
      version: inForce.version,
      boxesDigest: content === 'with-boxes' ? directory.digest : undefined,
      own: ownRecord.statement,
    };
    return [{kind: 'ask-peer', address, question: query}];
  }

  /** A peer replied or timed out. */
  ended(address: string, reply: PeerKnowledge | undefined): void {
    const replyVersion = reply?.configuration?.version ?? 0;
    this.context.peers.ended(address, replyVersion);
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
    const {duty: readerRole, ownRecord, peers} = this.context;
    if (readerRole.lacksNews(now)) {
      return peers.withoutStore(now, random);
    }
    return ownRecord.isHeldUp ? peers.instead(now, random) : undefined;
  }

  private queryContent(now: number): QueryContent {
    const {duty: readerRole} = this.context;
    const lacksBoxes = !readerRole.hasReadBoxes || readerRole.lacksNews(now);
    return lacksBoxes ? 'with-boxes' : 'configuration';
  }
}
