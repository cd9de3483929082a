// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** When a node asks its peers, whom, and for what. */

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

/** What a question is about. */
type Wanted = 'configuration' | 'with-boxes';

/** What the questions of a node depend on. */
export interface PeerQuestionsContext {
  readonly inForce: ConfigurationInForce;
  readonly directory: BoxDirectory;
  readonly duty: StoreDuty;
  readonly ownRecord: OwnRecord;
  readonly peers: PeerAsking;
}

/** Asks for what neither the store nor a reader has brought. */
export class PeerQuestions {
  private readonly watch = new VersionWatch();

  constructor(private readonly context: PeerQuestionsContext) {}

  /** The questions that are due now. */
  due(now: number, random: RandomSource): readonly FleetAction[] {
    const overdue = this.context.peers.overdue(now);
    const asked = [overdue, this.peerInsteadOfStore(now, random)].flatMap(
      (address) =>
        address === undefined ? [] : this.ask(address, this.wanted(now)),
    );
    return [...asked, ...this.watch.due(now, this.context.inForce.version)];
  }

  /** A peer told the version that is in force there. */
  versionHeard(
    now: number,
    random: RandomSource,
    address: string,
    version: number,
  ): readonly FleetAction[] {
    const {duty, inForce, peers} = this.context;
    this.watch.heard(now, address, version, inForce.version);
    if (!duty.hasReadBoxes) {
      // All peers that call a node that has just started tell it their versions.
      return peers.isAsking ? [] : this.ask(address, 'with-boxes');
    }
    if (version <= inForce.version) {
      return [];
    }
    duty.newerVersionHeard(now);
    peers.heardOfNewer(now, address, version, duty.isServing(now));
    return duty.lacksNews(now)
      ? this.ask(address, this.wanted(now))
      : this.due(now, random);
  }

  /** Asks one peer, unless it has not replied yet. */
  ask(address: string, wanted: Wanted): readonly FleetAction[] {
    const {directory, inForce, ownRecord, peers} = this.context;
    if (!peers.begin(address)) {
      return [];
    }
    this.watch.asked();
    const question: PeerQuestion = {
      version: inForce.version,
      boxesDigest: wanted === 'with-boxes' ? directory.digest : undefined,
      own: ownRecord.statement,
    };
    return [{kind: 'ask-peer', address, question}];
  }

  /** A peer replied, or did not answer in time. */
  ended(address: string, knowledge: PeerKnowledge | undefined): void {
    const broughtVersion = knowledge?.configuration?.version ?? 0;
    this.context.peers.ended(address, broughtVersion);
    if (knowledge === undefined) {
      this.watch.unanswered();
    }
  }

  /** Peers stand in for a store that does not answer here, or takes no record. */
  private peerInsteadOfStore(
    now: number,
    random: RandomSource,
  ): string | undefined {
    const {duty, ownRecord, peers} = this.context;
    if (duty.lacksNews(now)) {
      return peers.withoutStore(now, random);
    }
    return ownRecord.isHeldUp ? peers.instead(now, random) : undefined;
  }

  private wanted(now: number): Wanted {
    const {duty} = this.context;
    const lacksBoxes = !duty.hasReadBoxes || duty.lacksNews(now);
    return lacksBoxes ? 'with-boxes' : 'configuration';
  }
}
