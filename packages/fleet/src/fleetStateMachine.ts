// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * State machine of a node's view of its fleet: the configuration in force,
 * the boxes and the node's own record. Decisions depend only on (now, random,
 * event).
 */

import type {RandomSource} from '@lockpin/types';
import type {BoxDirectory} from './boxDirectory.js';
import type {BoxRecord} from './boxRecord.js';
import {checkPeerReply} from './checkPeerReply.js';
import type {ReadConfiguration} from './configurationInForce.js';
import type {DeclaredConfiguration} from './declaredConfiguration.js';
import type {
  FleetAction,
  FleetEvent,
  FleetUpdate,
  PeerQueryReply,
  PeerQuery,
} from './fleetMessages.js';
import {createFleetComponents} from './fleetComponents.js';
import type {FleetComponents, FleetOptions} from './fleetComponents.js';
import type {NodeIdentity} from './nodeIdentity.js';
import type {OwnUpstreamTracker} from './ownUpstream.js';
import type {StoreReaderRole} from './storeReaderRole.js';
import type {StoreEra} from './storeEra.js';
import type {SuspectRequests} from './suspectRequests.js';

/** Handles events and returns the actions that follow from them. */
export class FleetStateMachine {
  private readonly components: FleetComponents;
  /** Actions caused by peers' queries; returned with the next event. */
  private readonly deferredActions: FleetAction[] = [];

  constructor(
    private readonly identity: NodeIdentity,
    readConfiguration: ReadConfiguration,
    options: FleetOptions = {isFirstStart: false},
  ) {
    this.components = createFleetComponents(
      identity,
      readConfiguration,
      options,
    );
  }

  /** All known boxes. */
  get directory(): BoxDirectory {
    return this.components.directory;
  }

  /** The upstream of this box. */
  get own(): OwnUpstreamTracker {
    return this.components.own;
  }

  /** This node's role in reading the store. */
  get readerRole(): StoreReaderRole {
    return this.components.readerRole;
  }

  /** Requests suspected of crashing upstreams. */
  get suspects(): SuspectRequests {
    return this.components.suspects;
  }

  /** Tracks restores of the store, as far as this node knows. */
  get storeEra(): StoreEra {
    return this.components.eraCheck.era;
  }

  /** Invalid records found since the process started. */
  get invalidRecordCount(): number {
    return this.components.boxes.invalidCount;
  }

  get configuration(): DeclaredConfiguration | undefined {
    return this.components.configurationHandler.inForce.current;
  }

  get version(): number {
    return this.components.configurationHandler.inForce.version;
  }

  handle(
    now: number,
    random: RandomSource,
    event: FleetEvent,
  ): readonly FleetAction[] {
    const deferred = this.deferredActions.splice(0);
    const actions = [...deferred, ...this.decide(now, random, event)];
    const quarantineActions = this.suspects.takeActions(now);
    return [...actions, ...quarantineActions, ...this.broadcastRunReports(now)];
  }

  private decide(
    now: number,
    random: RandomSource,
    event: FleetEvent,
  ): readonly FleetAction[] {
    switch (event.kind) {
      case 'tick':
        return this.tick(now, random, event.followers ?? 0);
      case 'follower-added':
        this.components.followerUpdates.followerAdded();
        return [];
      case 'leaving':
        this.readerRole.leave();
        return [];
      case 'update-received':
        return this.updateReceived(now, random, event.news);
      case 'read-ended':
        return [
          ...this.components.storeResultHandler.readEnded(now, random, event),
          ...this.advance(now, random),
        ];
      case 'write-ended':
        return this.components.storeResultHandler.writeEnded(now, event.result);
      case 'runs-crashed':
        this.suspects.crashed(now, event.digests, this.own.upstream?.program);
        return [];
      case 'run-survived':
        this.suspects.survived(now, event.digest);
        return [];
      case 'quarantine-lifted':
        this.suspects.lift(now, event.digest);
        return [];
      case 'unknown-key-presented':
        return this.queryForKeys(now);
      case 'upstream-announced':
        return this.components.announcementHandler.announced(
          now,
          event.announcement,
        );
      case 'reachability-changed':
        return this.components.announcementHandler.reachabilityChanged(
          now,
          event.isReachable,
        );
      case 'upstream-leaving':
        return this.components.announcementHandler.upstreamLeaving(
          now,
          event.incarnation,
        );
      case 'peer-version-reported':
        this.readerRole.readers.peerHeard(now, event.address);
        return this.components.questions.versionReported(
          now,
          random,
          event.address,
          event.version,
        );
      case 'version-requested':
        this.readerRole.readers.clock.merge(now, event.clock);
        return [];
      case 'peer-replied': {
        const reply = checkPeerReply(event.reply);
        this.components.questions.queryEnded(event.address, reply);
        this.components.configurationHandler.replied(event.address);
        return [
          ...this.learnFromPeer(now, event.address, reply),
          ...this.components.configurationHandler.due(now, random),
        ];
      }
    }
  }

  /** Answers another node's query, and applies the record sent with it. */
  answer(now: number, query: PeerQuery): PeerQueryReply {
    if (query.own !== undefined) {
      this.deferredActions.push(
        ...this.components.boxes.fromPeer(now, 'peer', [query.own]),
      );
    }
    return this.components.answers.replyTo(query, this.configuration);
  }

  /** Whether a reply from a peer is pending. */
  get hasPendingPeerQuery(): boolean {
    return this.components.peers.hasPendingQuery;
  }

  /**
   * Whether this node reads the store itself and so sees each change at once.
   */
  isCurrent(now: number): boolean {
    return this.readerRole.isServing(now);
  }

  /**
   * A reader may already know a newer version that has not reached this node.
   */
  private queryForKeys(now: number): readonly FleetAction[] {
    const address = this.readerRole.readers.freshestReader(now);
    return address === undefined || this.isCurrent(now)
      ? []
      : this.components.questions.query(address, 'configuration');
  }

  private tick(
    now: number,
    random: RandomSource,
    followers: number,
  ): readonly FleetAction[] {
    return [
      ...this.advance(now, random),
      ...this.notifyFollowers(now, followers),
    ];
  }

  /** Performs whatever is due now, independent of the event. */
  private advance(now: number, random: RandomSource): readonly FleetAction[] {
    this.components.ownRecord.tick(now);
    return [
      ...this.readerRole.advance(now),
      ...this.components.lostRecordRecovery.due(now, random),
      ...this.components.announcementHandler.write(now),
      ...this.components.boxes.expire(now),
      ...this.components.configurationHandler.due(now, random),
      ...this.components.questions.due(now, random),
    ];
  }

  /**
   * Broadcast without delay: upstreams crash for as long as some boxes do not
   * know. See RunReportBroadcast.
   */
  private broadcastRunReports(now: number): readonly FleetAction[] {
    const actions: FleetAction[] = [];
    if (this.suspects.takeHasChanges()) {
      const {reports, lifts} = this.suspects;
      this.components.ownRecord.runsChanged(now, reports, lifts);
      actions.push(...this.components.announcementHandler.write(now));
    }
    if (this.components.runReportBroadcast.hasPending) {
      actions.push(...this.components.runReportBroadcast.takeActions(now));
    }
    return actions;
  }

  private notifyFollowers(
    now: number,
    followers: number,
  ): readonly FleetAction[] {
    const state = {
      version: this.version,
      boxesDigest: this.directory.digest,
      isReading: this.readerRole.isServing(now),
      storeAge: this.readerRole.storeAge(now),
    };
    return this.components.followerUpdates
      .due(now, followers, state)
      .map((update) => ({kind: 'notify-followers', news: update}));
  }

  /** Handles an update from a node that this one follows. */
  private updateReceived(
    now: number,
    random: RandomSource,
    update: FleetUpdate,
  ): readonly FleetAction[] {
    switch (update.kind) {
      case 'boxes':
        return this.components.boxes.fromPeer(now, 'peer', update.boxes);
      case 'records-lost':
        return this.components.lostRecordRecovery.reported(now, random, update);
      case 'store-restored':
        return [
          ...this.components.eraCheck.eraReported(now, update.era),
          ...this.advance(now, random),
        ];
      case 'report':
        return this.reportReceived(now, random, update);
    }
  }

  private reportReceived(
    now: number,
    random: RandomSource,
    {address, report}: FleetUpdate & {readonly kind: 'report'},
  ): readonly FleetAction[] {
    this.readerRole.readers.reportReceived(now, address, report);
    const {digest} = this.directory;
    const queries = this.readerRole.readers.needsBoxesFrom(now, address, digest)
      ? this.components.questions.query(address, 'with-boxes')
      : [];
    return [
      ...queries,
      ...this.components.questions.versionReported(
        now,
        random,
        address,
        report.version,
      ),
    ];
  }

  private learnFromPeer(
    now: number,
    address: string,
    reply: PeerQueryReply | undefined,
  ): readonly FleetAction[] {
    if (reply === undefined) {
      return [];
    }
    const {boxes} = this.components;
    const isOwn = ({box}: BoxRecord): boolean => box === this.identity.box;
    const others = reply.boxes.filter((record) => !isOwn(record));
    const actions = [
      ...boxes.fromPeer(now, address, others),
      ...boxes.ownFromPeer(now, address, reply.boxes.filter(isOwn)),
    ];
    const {configuration} = reply;
    return configuration === undefined
      ? actions
      : [
          ...actions,
          ...this.components.configurationHandler.fromPeer(
            address,
            configuration,
          ),
        ];
  }
}
