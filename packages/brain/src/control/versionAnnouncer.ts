// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Tracks the versions in force on other nodes and announces this node's. */

import {sample} from '@lockpin/membership';
import type {
  Datagram,
  Member,
  Membership,
  MembershipContext,
} from '@lockpin/membership';
import type {RandomSource} from '@lockpin/types';
import type {ConfigurationReplica} from './configurationReplica.js';
import type {ControlAction} from './controlMessages.js';
import {timelineAction} from './timelineAction.js';

/** Nodes notified directly of new records; others learn from probes. */
const VERSION_FAN_OUT = 4;

/** Nodes notified directly that this one is leaving. */
const LEAVING_FAN_OUT = 8;

/** Nodes notified directly that a watch starts or ends; others by gossip. */
const WATCH_FAN_OUT = 32;

/** Announces versions in datagrams and records the versions of other nodes. */
export class VersionAnnouncer {
  /** Version that each box last reported in force. */
  readonly versionsInForce = new Map<string, number>();

  constructor(
    private readonly membership: Membership,
    private readonly replica: ConfigurationReplica,
    private readonly context: (now: number) => MembershipContext,
  ) {}

  /** Announces a new version to a random sample and to all watching nodes. */
  announceVersion(now: number, random: RandomSource): readonly ControlAction[] {
    const {box} = this.membership.own;
    const {version} = this.replica;
    this.versionsInForce.set(box, version);
    const peers = this.membership.reachable();
    const chosen = sample(peers, VERSION_FAN_OUT, random);
    const watching = peers.filter(({isWatching}) => isWatching);
    return [
      {kind: 'in-force', box, version},
      ...chosen.map((peer) => this.notify(now, peer, 'version-news')),
      ...watching.map((peer) => this.notify(now, peer, 'in-force')),
    ];
  }

  /** Sends the version in force here to a member that starts to watch. */
  memberChanged(
    now: number,
    member: Member,
    before: Member | undefined,
  ): readonly ControlAction[] {
    return member.isWatching && !before?.isWatching
      ? [this.notify(now, member, 'in-force')]
      : [];
  }

  /** Announces that watches have started here, or that the last has ended. */
  watchersCounted(
    now: number,
    random: RandomSource,
    isWatching: boolean,
  ): readonly ControlAction[] {
    if (this.membership.own.isWatching === isWatching) {
      return [];
    }
    this.membership.announce({isWatching});
    return this.notifySample(now, random, WATCH_FAN_OUT);
  }

  /** Announces that this node is leaving. */
  leave(now: number, random: RandomSource): readonly ControlAction[] {
    this.membership.announce({state: 'leaving'});
    return this.notifySample(now, random, LEAVING_FAN_OUT);
  }

  /** Handles the version and digest that a datagram carries. */
  datagramReceived(datagram: Datagram): readonly ControlAction[] {
    const {from, version} = datagram;
    return [
      ...this.recordVersion(from.box, version),
      ...this.compareDigests(datagram),
    ];
  }

  private recordVersion(
    box: string,
    version: number,
  ): readonly ControlAction[] {
    if (this.versionsInForce.get(box) === version) {
      return [];
    }
    this.versionsInForce.set(box, version);
    return [{kind: 'in-force', box, version}];
  }

  private compareDigests(datagram: Datagram): readonly ControlAction[] {
    const {version, digest} = this.replica.state;
    const isSameEra = datagram.era === this.replica.era;
    if (
      !isSameEra ||
      datagram.version !== version ||
      datagram.digest === digest
    ) {
      return [];
    }
    const {box} = this.membership.own;
    const detail = {version, box: datagram.from.box};
    return [timelineAction('digest-differs', box, detail)];
  }

  private notifySample(
    now: number,
    random: RandomSource,
    size: number,
  ): readonly ControlAction[] {
    const recipients = sample(this.membership.reachable(), size, random);
    return recipients.map((peer) => this.notify(now, peer, 'version-news'));
  }

  private notify(
    now: number,
    {peerAddress}: Member,
    kind: 'version-news' | 'in-force',
  ): ControlAction {
    const datagram = this.membership.datagram({kind}, this.context(now));
    return {kind: 'send', address: peerAddress, datagram};
  }
}
