// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Who has which version in force, and telling the others of one's own. */

import {sample} from '@lockpin/membership';
import type {
  Datagram,
  Member,
  Membership,
  MembershipContext,
} from '@lockpin/membership';
import type {RandomSource} from '@lockpin/types';
import type {ConfigurationKeeper} from './configurationKeeper.js';
import type {ControlAction} from './controlMessages.js';
import {timelineAction} from './timelineAction.js';

/** Nodes told at once of new records; the rest hear of them from probes. */
const NEWS_FAN_OUT = 4;

/** Nodes told at once that this one leaves. */
const LEAVING_FAN_OUT = 8;

/** Nodes told at once that a watch has begun here; the rest by gossip. */
const WATCH_FAN_OUT = 32;

/** Sends version news over datagrams and keeps what others say. */
export class VersionNews {
  /** Version that each box was last heard to have in force. */
  readonly versionsInForce = new Map<string, number>();

  constructor(
    private readonly membership: Membership,
    private readonly keeper: ConfigurationKeeper,
    private readonly context: (now: number) => MembershipContext,
  ) {}

  /** A new version is in force here: a few at random hear, and all that watch. */
  tellOfVersion(now: number, random: RandomSource): readonly ControlAction[] {
    const {box} = this.membership.own;
    const {version} = this.keeper;
    this.versionsInForce.set(box, version);
    const peers = this.membership.reachable();
    const chosen = sample(peers, NEWS_FAN_OUT, random);
    const watching = peers.filter(({isWatching}) => isWatching);
    return [
      {kind: 'in-force', box, version},
      ...chosen.map((peer) => this.tell(now, peer, 'version-news')),
      ...watching.map((peer) => this.tell(now, peer, 'in-force')),
    ];
  }

  /** A member that begins to watch hears at once what is in force here. */
  memberChanged(
    now: number,
    member: Member,
    before: Member | undefined,
  ): readonly ControlAction[] {
    return member.isWatching && !before?.isWatching
      ? [this.tell(now, member, 'in-force')]
      : [];
  }

  /** Watches have begun here, or the last has ended. */
  watchersCounted(
    now: number,
    random: RandomSource,
    isWatching: boolean,
  ): readonly ControlAction[] {
    if (this.membership.own.isWatching === isWatching) {
      return [];
    }
    this.membership.announce({isWatching});
    return this.tellSome(now, random, WATCH_FAN_OUT);
  }

  /** This node leaves. */
  leave(now: number, random: RandomSource): readonly ControlAction[] {
    this.membership.announce({state: 'leaving'});
    return this.tellSome(now, random, LEAVING_FAN_OUT);
  }

  /** Takes in what a datagram says of its sender's version. */
  received(datagram: Datagram): readonly ControlAction[] {
    const {from, version} = datagram;
    return [
      ...this.noteInForce(from.box, version),
      ...this.compareDigests(datagram),
    ];
  }

  private noteInForce(box: string, version: number): readonly ControlAction[] {
    if (this.versionsInForce.get(box) === version) {
      return [];
    }
    this.versionsInForce.set(box, version);
    return [{kind: 'in-force', box, version}];
  }

  private compareDigests(datagram: Datagram): readonly ControlAction[] {
    const {version, digest} = this.keeper.state;
    const isSameLog = datagram.era === this.keeper.era;
    if (
      !isSameLog ||
      datagram.version !== version ||
      datagram.digest === digest
    ) {
      return [];
    }
    const {box} = this.membership.own;
    const detail = {version, box: datagram.from.box};
    return [timelineAction('digest-differs', box, detail)];
  }

  private tellSome(
    now: number,
    random: RandomSource,
    most: number,
  ): readonly ControlAction[] {
    const told = sample(this.membership.reachable(), most, random);
    return told.map((peer) => this.tell(now, peer, 'version-news'));
  }

  private tell(
    now: number,
    {peerAddress}: Member,
    kind: 'version-news' | 'in-force',
  ): ControlAction {
    const datagram = this.membership.datagram({kind}, this.context(now));
    return {kind: 'send', address: peerAddress, datagram};
  }
}
