// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Getting records and snapshots from peers. */

import type {SnapshotChunk} from '@lockpin/configuration';
import {sample} from '@lockpin/membership';
import type {DatagramHeader, Member, Membership} from '@lockpin/membership';
import type {RandomSource} from '@lockpin/types';
import {isLaterPosition} from '@lockpin/utils';
import type {ConfigurationKeeper} from './configurationKeeper.js';
import type {ControlAction, PeerReply, PeerRequest} from './controlMessages.js';
import type {HolderRole} from './holderRole.js';

/** An exchange that has not ended after this is given up. */
const EXCHANGE_MILLISECONDS = 3000;

/** After a peer was of no help, the next is asked this much later. */
const PAUSE_MILLISECONDS = 200;

/** Peers that a starting node asks, so that one that lags does not decide. */
export const PEERS_ASKED_AT_START = 3;

const TOKEN = 'pull';

interface Transfer {
  readonly writer: string;
  readonly count: number;
  next: number;
}

/** What a reply brought. */
export type PullResult =
  | {readonly kind: 'nothing'}
  | {
      readonly kind: 'records';
      readonly reply: PeerReply & {readonly kind: 'records'};
    }
  | {readonly kind: 'snapshot-chunk'; readonly chunk: SnapshotChunk};

/** One exchange at a time, with the peer that is known to be ahead. */
export class PeerPuller {
  /** Peers that have answered with their records. */
  answered = new Set<string>();
  private readonly asked = new Set<string>();
  private peer: Member | undefined;
  private startedAt = 0;
  private serial = 0;
  private isBusy = false;
  private nextAt = 0;
  private transfer: Transfer | undefined;
  private ahead: Member | undefined;

  constructor(
    private readonly membership: Membership,
    private readonly keeper: ConfigurationKeeper,
    private readonly holders: HolderRole,
  ) {}

  get isTransferring(): boolean {
    return this.transfer !== undefined;
  }

  /** Whether this token belongs to the exchange under way. */
  owns(token: string): boolean {
    return token === `${TOKEN} ${this.serial}` && this.isBusy;
  }

  /** A peer's datagram showed how far it is. */
  heardOf(peer: Member, {version, era, holders}: DatagramHeader): void {
    const isSameLog = this.keeper.era === undefined || era === this.keeper.era;
    const isAhead =
      (isSameLog && version > this.keeper.version) ||
      isLaterPosition(holders, this.holders.position);
    if (isAhead && this.transfer === undefined) {
      this.ahead = peer;
    }
  }

  tick(
    now: number,
    random: RandomSource,
    isStarting: boolean,
  ): readonly ControlAction[] {
    if (this.isBusy && now - this.startedAt > EXCHANGE_MILLISECONDS) {
      this.giveUp(now);
    }
    if (this.isBusy || now < this.nextAt) {
      return [];
    }
    if (this.transfer !== undefined && this.peer !== undefined) {
      return [this.askForChunk(now, this.peer, this.transfer)];
    }
    const peer = this.ahead ?? this.startingPeer(random, isStarting);
    this.ahead = undefined;
    return peer === undefined ? [] : [this.askForRecords(now, peer)];
  }

  ended(now: number, reply: PeerReply | undefined): PullResult {
    this.isBusy = false;
    if (reply?.kind === 'records') {
      this.answered.add(this.peer?.box ?? '');
      if (this.keeper.era === undefined || reply.era === this.keeper.era) {
        this.beginTransfer(reply.snapshot);
        if (reply.version > this.keeper.version && reply.records.length > 0) {
          this.ahead = this.peer;
        }
      }
      return {kind: 'records', reply};
    }
    if (reply?.kind === 'snapshot-chunk' && reply.chunk !== undefined) {
      this.advanceTransfer();
      return {kind: 'snapshot-chunk', chunk: reply.chunk};
    }
    this.giveUp(now);
    return {kind: 'nothing'};
  }

  private startingPeer(
    random: RandomSource,
    isStarting: boolean,
  ): Member | undefined {
    if (!isStarting || this.answered.size >= PEERS_ASKED_AT_START) {
      return undefined;
    }
    const all = this.membership.reachable();
    const fresh = all.filter(({box}) => !this.asked.has(box));
    if (fresh.length === 0) {
      this.asked.clear();
    }
    const unanswered = fresh.filter(({box}) => !this.answered.has(box));
    const [peer] = sample(unanswered, 1, random);
    if (peer !== undefined) {
      this.asked.add(peer.box);
    }
    return peer;
  }

  private beginTransfer(first: SnapshotChunk | undefined): void {
    if (first === undefined || first.version <= this.keeper.version) {
      return;
    }
    this.keeper.shelf.add(first);
    const {writer, count} = first;
    this.transfer = count > 1 ? {writer, count, next: 1} : undefined;
  }

  private advanceTransfer(): void {
    const {transfer} = this;
    if (transfer === undefined) {
      return;
    }
    transfer.next += 1;
    if (transfer.next >= transfer.count) {
      this.transfer = undefined;
      this.ahead = this.peer;
    }
  }

  private askForRecords(now: number, peer: Member): ControlAction {
    this.peer = peer;
    const request: PeerRequest = {
      kind: 'records',
      version: this.keeper.version,
      era: this.keeper.era,
      holders: this.holders.position,
    };
    return this.exchange(now, peer, request);
  }

  private askForChunk(
    now: number,
    peer: Member,
    {writer, next}: Transfer,
  ): ControlAction {
    const request: PeerRequest = {
      kind: 'snapshot-chunk',
      writer,
      index: next,
    };
    return this.exchange(now, peer, request);
  }

  private exchange(
    now: number,
    peer: Member,
    request: PeerRequest,
  ): ControlAction {
    this.isBusy = true;
    this.startedAt = now;
    this.serial += 1;
    const token = `${TOKEN} ${this.serial}`;
    return {kind: 'exchange', token, address: peer.peerAddress, request};
  }

  private giveUp(now: number): void {
    this.isBusy = false;
    this.transfer = undefined;
    this.nextAt = now + PAUSE_MILLISECONDS;
  }
}
