// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * A node's role in reading the store: for its data centre, for itself, or none.
 */

import type {RandomSource} from '@lockpin/types';
import type {BoxDirectory} from './boxDirectory.js';
import type {FleetAction} from './fleetMessages.js';
import type {NodeIdentity} from './nodeIdentity.js';
import {logEvent} from './logEvent.js';
import type {RecordStream} from './recordStore.js';
import {ReaderSelection} from './readerSelection.js';
import type {ReaderContact} from './readerSelection.js';
import type {FollowedPeers} from './nodeIdentity.js';
import {StoreStreams} from './storeStreams.js';
import type {ReadEnd} from './streamFollower.js';

/** Reads whatever no other node reads on behalf of this one. */
export class StoreReaderRole {
  readonly readers: ReaderSelection;
  private readonly streams: StoreStreams;
  private serializedPeers = '';
  private wasReadingStore = false;
  private isLeaving = false;
  private contact: ReaderContact = 'fleet';

  constructor(
    identity: NodeIdentity,
    private readonly directory: BoxDirectory,
    isFirstStart: boolean,
    maximumReadMilliseconds?: number,
  ) {
    this.readers = new ReaderSelection(identity, directory);
    this.streams = new StoreStreams(isFirstStart, maximumReadMilliseconds);
  }

  /** Whether this node has read the members of the fleet. */
  get hasReadBoxes(): boolean {
    return this.streams.hasReadBoxes;
  }

  /** Whether this node keeps reading the store, for others or for itself. */
  isReadingStore(now: number): boolean {
    return this.hasReadBoxes && !this.isLeaving && this.readers.mustRead(now);
  }

  /** Whether it reads and the store answers, so that others may rely on it. */
  isServing(now: number): boolean {
    return this.isReadingStore(now) && !this.streams.isFailing;
  }

  /** Whether neither the store nor a reader informs this node of changes. */
  isStale(now: number): boolean {
    const isFresh = this.readers.hasActiveReader(now) || this.isServing(now);
    return !isFresh && (this.streams.isFailing || this.readers.isIsolated(now));
  }

  /**
   * Milliseconds since the store answered this node or a reader that it
   * follows.
   */
  staleness(now: number): number | undefined {
    const ownStaleness = this.isReadingStore(now)
      ? this.streams.lastAnswerAge(now)
      : undefined;
    const readerStaleness = this.readers.staleness(now);
    return ownStaleness === undefined || readerStaleness === undefined
      ? (ownStaleness ?? readerStaleness)
      : Math.min(ownStaleness, readerStaleness);
  }

  /** Milliseconds since the store answered this node; 0 if it never did. */
  storeAge(now: number): number {
    return this.streams.lastAnswerAge(now) ?? 0;
  }

  /** Milliseconds between the last two answers of the store to this node. */
  get lastAnswerGap(): number {
    return this.streams.lastAnswerGap;
  }

  /** Hands reading over to other nodes. */
  leave(): void {
    this.isLeaving = true;
  }

  /** Returns the peers to follow and the reads that are due. */
  advance(now: number): readonly FleetAction[] {
    if (this.hasReadBoxes) {
      this.readers.tick(now);
    }
    const isReadingStore = this.isReadingStore(now);
    const pollPhase = () => this.readers.pollPhase(now);
    const isReaderHeard = this.readers.hasActiveReader(now);
    return [
      ...this.streams.due(now, {isReadingStore, pollPhase, isReaderHeard}),
      ...this.followPeers(now),
      ...this.logRoleChange(isReadingStore),
      ...(isReadingStore ? this.keepContact(now) : []),
    ];
  }

  /** Handles the end of a read and returns what to log. */
  readEnded(
    now: number,
    random: RandomSource,
    stream: RecordStream,
    end: ReadEnd,
  ): readonly FleetAction[] {
    return this.streams.ended(now, random, stream, end);
  }

  /** A peer reported a newer version than the one in force here. */
  newerVersionReported(now: number): void {
    this.streams.newerVersionReported(now);
  }

  /** The store was restored to an earlier state. */
  storeRestored(now: number): void {
    this.streams.restored(now);
  }

  /**
   * Whether this node is the one reader that maintains records of departed
   * boxes.
   */
  get isMaintainer(): boolean {
    return this.readers.isFirstReader;
  }

  /** A newer version came into force. */
  versionAdopted(): void {
    this.streams.versionAdopted();
  }

  /** Stays in contact with other data centres, and logs when that changes. */
  private keepContact(now: number): readonly FleetAction[] {
    const {request, unresponsive} = this.readers.contactStep(now);
    const contact = this.readers.contact(now);
    const hasChanged = contact !== this.contact;
    this.contact = contact;
    return [
      ...unresponsive.map((address): FleetAction => ({
        kind: 'peer-unresponsive',
        address,
      })),
      ...(request === undefined ? [] : [this.requestVersion(now, request)]),
      ...(hasChanged ? [logEvent('reader-contact', contact, {})] : []),
    ];
  }

  private requestVersion(now: number, address: string): FleetAction {
    const clock = this.readers.clock.read(now);
    return {kind: 'request-version', address, clock};
  }

  private followPeers(now: number): readonly FleetAction[] {
    const peers: FollowedPeers = this.readers.followed(now);
    const serializedPeers = JSON.stringify(peers);
    if (serializedPeers === this.serializedPeers || !this.hasReadBoxes) {
      return [];
    }
    this.serializedPeers = serializedPeers;
    return [{kind: 'follow-peers', peers}];
  }

  private logRoleChange(isReadingStore: boolean): readonly FleetAction[] {
    if (isReadingStore === this.wasReadingStore) {
      return [];
    }
    this.wasReadingStore = isReadingStore;
    const {isReader} = this.readers;
    const event = isReadingStore ? 'store-reading-begun' : 'store-reading-left';
    return [logEvent(event, '', {isReader, boxes: this.directory.size})];
  }
}
