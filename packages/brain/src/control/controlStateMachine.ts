// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The control plane of a node: configuration, members, permits, snapshots. */

import {isLogReader, Membership} from '@lockpin/membership';
import type {
  Datagram,
  Member,
  MemberIdentity,
  MembershipAction,
  MembershipContext,
} from '@lockpin/membership';
import type {RandomSource} from '@lockpin/types';
import {HybridClock} from '@lockpin/utils';
import {ConfigurationReplica} from './configurationReplica.js';
import type {
  ControlAction,
  ControlEvent,
  ListedBox,
  LogReadResult,
  PeerReply,
  StreamName,
} from './controlMessages.js';
import {HolderRole} from './holderRole.js';
import {LogFollower} from './logFollower.js';
import {LogRestore} from './logRestore.js';
import {PEERS_ASKED_AT_START, PeerPuller} from './peerPuller.js';
import {PeerRequestHandler} from './peerRequestHandler.js';
import {PullResultHandler} from './pullResultHandler.js';
import {ChangePublisher} from './changePublisher.js';
import {ReportRouter} from './reportRouter.js';
import {RestoreCoordinator} from './restoreCoordinator.js';
import {SnapshotWriter} from './snapshotWriter.js';
import type {SnapshotSettings} from './snapshotWriter.js';
import {startPhase} from './startPhase.js';
import type {StartPhase} from './startPhase.js';
import {timelineAction} from './timelineAction.js';
import {VersionAnnouncer} from './versionAnnouncer.js';

/** Settings of the control plane. */
export interface ControlSettings {
  readonly snapshots: SnapshotSettings;
}

/** Defaults where the node's settings give none. */
export const DEFAULT_CONTROL_SETTINGS: ControlSettings = {
  snapshots: {everyRecords: 500, everyMilliseconds: 6 * 3_600_000},
};

/** A state machine whose actions depend only on (now, random, event). */
export class ControlStateMachine {
  readonly membership: Membership;
  readonly replica = new ConfigurationReplica();
  readonly holders: HolderRole;
  readonly clock = new HybridClock();
  readonly news: VersionAnnouncer;
  private readonly changePublisher = new ChangePublisher();
  private readonly puller: PeerPuller;
  private readonly snapshotWriter: SnapshotWriter;
  private readonly follower: LogFollower;
  private readonly reportRouter: ReportRouter;
  private readonly requestHandler: PeerRequestHandler;
  private readonly pullResults: PullResultHandler;
  readonly restores: RestoreCoordinator;
  private phase: StartPhase = 'asking-peers';
  private startedAt: number | undefined;
  private isReader = true;
  private membersChanged = false;

  constructor(
    identity: MemberIdentity,
    settings: ControlSettings = DEFAULT_CONTROL_SETTINGS,
  ) {
    const {replica} = this;
    this.membership = new Membership(identity);
    this.holders = new HolderRole(this.membership);
    this.puller = new PeerPuller(this.membership, replica, this.holders);
    this.snapshotWriter = new SnapshotWriter(
      this.membership,
      settings.snapshots,
    );
    this.reportRouter = new ReportRouter(identity.box, replica, this.holders);
    this.requestHandler = new PeerRequestHandler(
      this.membership,
      replica,
      this.holders,
    );
    this.news = new VersionAnnouncer(this.membership, replica, (now) =>
      this.context(now),
    );
    this.restores = new RestoreCoordinator({
      membership: this.membership,
      replica,
      isReader: () => this.isReader,
    });
    this.follower = new LogFollower({
      box: identity.box,
      restores: this.restores,
      replica,
      holders: this.holders,
      writer: this.snapshotWriter,
      isReader: () => this.isReader,
      isAwaitingChange: () => this.changePublisher.isWaiting,
      isReady: () => this.isReady,
      onFolded: (now, random) => [
        ...this.news.announceVersion(now, random),
        ...this.reviewChanges(now),
      ],
    });
    this.pullResults = new PullResultHandler(
      replica,
      this.holders,
      this.follower,
    );
  }

  get isReady(): boolean {
    return this.phase === 'ready';
  }

  handle(
    now: number,
    random: RandomSource,
    event: ControlEvent,
  ): readonly ControlAction[] {
    switch (event.kind) {
      case 'tick':
        return this.tick(now, random);
      case 'datagram-received':
        return this.received(now, random, event.datagram);
      case 'boxes-listed':
        return this.boxesListed(now, event.boxes);
      case 'log-read':
        return this.logRead(now, random, event.stream, event.result);
      case 'append-ended':
        return this.appendEnded(now, event);
      case 'exchange-received':
        return [this.requestHandler.handle(now, event.token, event.request)];
      case 'exchange-ended':
        return this.exchangeEnded(now, random, event.token, event.reply);
      case 'change-submitted':
        return this.changePublisher.submit(
          now,
          this.replica.state,
          event.change,
          this.restores.isPending,
        );
      case 'guard-reported':
        return this.reportRouter.route(now, event.service, event.reports);
      case 'watchers-counted':
        return this.news.watchersCounted(now, random, event.count > 0);
      case 'leaving':
        return this.news.leave(now, random);
    }
  }

  private tick(now: number, random: RandomSource): readonly ControlAction[] {
    this.startedAt ??= now;
    const {state} = this.replica;
    const context = this.context(now);
    this.updateReaderRole();
    const probes = this.membership.tick(now, random, context);
    return [
      ...this.membershipActions(now, probes),
      ...this.pull(now, random),
      ...this.advancePhase(now),
      ...this.follower.tick(now, random, this.phase),
      ...this.reviewChanges(now),
      ...(this.isReady ? this.holders.tick(now, state) : []),
      ...this.writeSnapshot(now),
    ];
  }

  private writeSnapshot(now: number): readonly ControlAction[] {
    const {state, era = 0} = this.replica;
    return this.follower.mayWriteSnapshots
      ? this.snapshotWriter.tick(now, state, era)
      : [];
  }

  private updateReaderRole(): void {
    if (this.membersChanged) {
      this.membersChanged = false;
      const {own} = this.membership;
      this.isReader = isLogReader(own, this.membership.all());
    }
  }

  private advancePhase(now: number): readonly ControlAction[] {
    if (this.isReady) {
      return [];
    }
    const {configuration, snapshots} = this.follower.readers;
    this.phase = startPhase({
      now,
      startedAt: this.startedAt ?? now,
      peersAnswered: this.puller.answered.size,
      peersRequired: Math.min(
        PEERS_ASKED_AT_START,
        Math.max(1, this.membership.reachable().length),
      ),
      isTransferring: this.puller.isTransferring,
      snapshotsRead: snapshots.hasReachedTail,
      snapshotReadFailures: snapshots.failureCount,
      logReadToTail: configuration.hasReachedTail,
      logReadFailures: configuration.failureCount,
      version: this.replica.version,
    });
    if (!this.isReady) {
      return [];
    }
    const {version, state} = this.replica;
    const detail = {version, digest: state.digest};
    return [{kind: 'ready'}, timelineAction('node-ready', this.ownBox, detail)];
  }

  private logRead(
    now: number,
    random: RandomSource,
    stream: StreamName,
    result: LogReadResult,
  ): readonly ControlAction[] {
    return [
      ...this.follower.logRead(now, random, stream, result),
      ...this.reviewChanges(now),
    ];
  }

  private reviewChanges(now: number): readonly ControlAction[] {
    const {isPending} = this.restores;
    return this.changePublisher.review(now, this.replica.state, isPending);
  }

  private appendEnded(
    now: number,
    event: ControlEvent & {readonly kind: 'append-ended'},
  ): readonly ControlAction[] {
    const {token, result} = event;
    const {readers} = this.follower;
    if (result.kind === 'confirmed') {
      this.follower.observeEra(now, result.era);
    }
    if (LogRestore.owns(token)) {
      this.restores.current?.appendEnded(now, token, result);
      return [];
    }
    if (token === 'snapshot') {
      return this.snapshotWriter.appendEnded(result.kind === 'confirmed');
    }
    if (token.startsWith('holder ')) {
      readers.holders.readSoon(now);
      return [];
    }
    readers.configuration.readSoon(now);
    return this.changePublisher.appendEnded(now, token, result);
  }

  private exchangeEnded(
    now: number,
    random: RandomSource,
    token: string,
    reply: PeerReply | undefined,
  ): readonly ControlAction[] {
    if (this.reportRouter.owns(token)) {
      return this.reportRouter.exchangeEnded(token, reply);
    }
    if (!this.puller.owns(token)) {
      return [];
    }
    const handled = this.pullResults.handle(
      now,
      random,
      this.puller.exchangeEnded(now, reply),
    );
    return [...handled, ...this.pull(now, random)];
  }

  /** Requests missing records from a peer before the next tick. */
  private pull(now: number, random: RandomSource): readonly ControlAction[] {
    return this.puller.tick(now, random, !this.isReady);
  }

  private received(
    now: number,
    random: RandomSource,
    datagram: Datagram,
  ): readonly ControlAction[] {
    this.clock.receive(now, datagram.time);
    this.puller.observeHeader(datagram.from, datagram);
    const restored = this.restores.observePeer(now, random, datagram);
    const context = this.context(now);
    const actions = this.membership.receive(now, datagram, context);
    return [
      ...restored,
      ...this.compareDigest(now, datagram),
      ...this.membershipActions(now, actions),
      ...this.news.datagramReceived(datagram),
      ...this.pull(now, random),
    ];
  }

  /** Both nodes rebuild if their states differ at one version of one log. */
  private compareDigest(
    now: number,
    {era, version, digest}: Datagram,
  ): readonly ControlAction[] {
    const {replica} = this;
    const differs =
      this.isReady &&
      era === replica.era &&
      version === replica.version &&
      digest !== replica.state.digest;
    if (differs) {
      this.restores.rebuildState(now);
    }
    return [];
  }

  private boxesListed(
    now: number,
    boxes: readonly ListedBox[],
  ): readonly ControlAction[] {
    const unknownMembers = boxes
      .filter(({box}) => this.membership.get(box) === undefined)
      .map(memberFromList);
    return this.membershipActions(
      now,
      this.membership.mergeMembers(now, unknownMembers),
    );
  }

  private membershipActions(
    now: number,
    actions: readonly MembershipAction[],
  ): readonly ControlAction[] {
    return actions.flatMap((action) =>
      action.kind === 'send'
        ? [action]
        : this.memberChanged(now, action.member, action.before),
    );
  }

  private memberChanged(
    now: number,
    member: Member,
    before: Member | undefined,
  ): readonly ControlAction[] {
    this.membersChanged = true;
    const {state, incarnation, box} = member;
    const detail = {state, incarnation};
    const isStateChange = before?.state !== state && incarnation !== '';
    return [
      {kind: 'member-changed', member, before},
      ...(isStateChange
        ? [timelineAction(`member-${state}`, box, detail)]
        : []),
      ...this.news.memberChanged(now, member, before),
    ];
  }

  private context(now: number): MembershipContext {
    const {version, state} = this.replica;
    const {digest} = state;
    const holders = this.holders.position;
    const era = this.replica.era ?? 0;
    return {version, digest, era, holders, time: this.clock.tick(now)};
  }

  private get ownBox(): string {
    return this.membership.own.box;
  }
}

/** A box from the platform's list is suspect until it is heard from. */
function memberFromList({box, dataCentre, peerAddress}: ListedBox): Member {
  return {
    box,
    dataCentre,
    peerAddress,
    callerAddress: '',
    operatorAddress: '',
    incarnation: '',
    state: 'suspect',
    refutation: 0,
    isWatching: false,
  };
}
