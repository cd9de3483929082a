// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Pulls records and snapshots from peers. */

import type {SnapshotChunk} from '@lockpin/configuration';
import {sample} from '@lockpin/membership';
import type {DatagramHeader, Member, Membership} from '@lockpin/membership';
import type {RandomSource} from '@lockpin/types';
import {isLaterPosition} from '@lockpin/utils';
import type {ConfigurationReplica} from './configurationReplica.js';
import type {ControlAction, PeerReply, PeerRequest} from './controlMessages.js';
import type {HolderRole} from './holderRole.js';

/** An exchange that has not ended after this is abandoned. */
const EXCHANGE_TIMEOUT_MILLISECONDS = 3000;

/** Delay before the next pull after an unsuccessful one. */
const RETRY_DELAY_MILLISECONDS = 200;

/** Peers that a starting node asks, so that a stale one is not decisive. */
export const PEERS_ASKED_AT_START = 3;

const TOKEN_PREFIX = 'pull';

interface Transfer {
  readonly writer: string;
  readonly count: number;
  next: number;
}

/** The result of an exchange. */
export type PullResult =
  | {readonly kind: 'nothing'}
  | {
      readonly kind: 'records';
      readonly reply: PeerReply & {readonly kind: 'records'};
    }
  | {readonly kind: 'snapshot-chunk'; readonly chunk: SnapshotChunk};

/** Runs one exchange at a time, with a peer that is known to be ahead. */
export class PeerPuller {
  /** Boxes of the peers that have replied with records. */
  answered = new Set<string>();
  private readonly asked = new Set<string>();
  private peer: Member | undefined;
  private startedAt = 0;
  private serial = 0;
  private isExchanging = false;
  private nextPullAt = 0;
  private transfer: Transfer | undefined;
  private ahead: Member | undefined;

  constructor(
    private readonly membership: Membership,
    private readonly replica: ConfigurationReplica,
    private readonly holders: HolderRole,
  ) {}

  get isTransferring(): boolean {
    return this.transfer !== undefined;
  }

  /** Whether the token belongs to the exchange in progress. */
  owns(token: string): boolean {
    return token === `${TOKEN_PREFIX} ${this.serial}` && this.isExchanging;
  }

  /** Records whether a peer is ahead, according to its datagram. */
  observeHeader(peer: Member, {version, era, holders}: DatagramHeader): void {
    const isSameEra =
      this.replica.era === undefined || era === this.replica.era;
    const isAhead =
      (isSameEra && version > this.replica.version) ||
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
    if (
      this.isExchanging &&
      now - this.startedAt > EXCHANGE_TIMEOUT_MILLISECONDS
    ) {
      this.abandon(now);
    }
    if (this.isExchanging || now < this.nextPullAt) {
      return [];
    }
    if (this.transfer !== undefined && this.peer !== undefined) {
      return [this.requestChunk(now, this.peer, this.transfer)];
    }
    const peer = this.ahead ?? this.selectStartupPeer(random, isStarting);
    this.ahead = undefined;
    return peer === undefined ? [] : [this.requestRecords(now, peer)];
  }

  exchangeEnded(now: number, reply: PeerReply | undefined): PullResult {
    this.isExchanging = false;
    if (reply?.kind === 'records') {
      this.answered.add(this.peer?.box ?? '');
      if (this.replica.era === undefined || reply.era === this.replica.era) {
        this.beginTransfer(reply.snapshot);
        if (reply.version > this.replica.version && reply.records.length > 0) {
          this.ahead = this.peer;
        }
      }
      return {kind: 'records', reply};
    }
    if (reply?.kind === 'snapshot-chunk' && reply.chunk !== undefined) {
      this.advanceTransfer();
      return {kind: 'snapshot-chunk', chunk: reply.chunk};
    }
    this.abandon(now);
    return {kind: 'nothing'};
  }

  private selectStartupPeer(
    random: RandomSource,
    isStarting: boolean,
  ): Member | undefined {
    if (!isStarting || this.answered.size >= PEERS_ASKED_AT_START) {
      return undefined;
    }
    const all = this.membership.reachable();
    const notAsked = all.filter(({box}) => !this.asked.has(box));
    if (notAsked.length === 0) {
      this.asked.clear();
    }
    const unanswered = notAsked.filter(({box}) => !this.answered.has(box));
    const [peer] = sample(unanswered, 1, random);
    if (peer !== undefined) {
      this.asked.add(peer.box);
    }
    return peer;
  }

  private beginTransfer(first: SnapshotChunk | undefined): void {
    if (first === undefined || first.version <= this.replica.version) {
      return;
    }
    this.replica.snapshots.add(first);
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

  private requestRecords(now: number, peer: Member): ControlAction {
    this.peer = peer;
    const request: PeerRequest = {
      kind: 'records',
      version: this.replica.version,
      era: this.replica.era,
      holders: this.holders.position,
    };
    return this.exchange(now, peer, request);
  }

  private requestChunk(
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
    this.isExchanging = true;
    this.startedAt = now;
    this.serial += 1;
    const token = `${TOKEN_PREFIX} ${this.serial}`;
    return {kind: 'exchange', token, address: peer.peerAddress, request};
  }

  private abandon(now: number): void {
    this.isExchanging = false;
    this.transfer = undefined;
    this.nextPullAt = now + RETRY_DELAY_MILLISECONDS;
  }
}
