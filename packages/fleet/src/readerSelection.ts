// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Selects the readers of the store. In each data centre the nodes of the lowest
 * rank read, and the others follow them. If two nodes disagree about the ranks,
 * there is one reader more, or a node follows one that does not read until it
 * tries the next one.
 */

import {STABLE_HASH_RANGE, stableHash} from '@lockpin/utils';
import type {BoxDirectory} from './boxDirectory.js';
import type {FollowedPeers, NodeIdentity} from './nodeIdentity.js';
import {readersBefore} from './pollPhase.js';
import type {PollPhase} from './pollPhase.js';
import {READERS_PER_DATA_CENTRE, preferredReaders} from './preferredReaders.js';
import {RemoteContact} from './remoteContact.js';
import type {ContactStep} from './remoteContact.js';
import {ReaderStatus} from './readerStatus.js';
import type {ReaderReport} from './readerStatus.js';
import {TurnClock} from './turnClock.js';

/**
 * Maximum number of nodes of a data centre that are tried as readers while the
 * store rejects them. If a third of all nodes cannot reach the store, hardly
 * any data centre has this many such nodes in a row; if no node can, the others
 * should not add load.
 */
const MAXIMUM_CANDIDATES = 6;

/**
 * A node that has had no active reader for this long reads by itself. The next
 * nodes in rank detect the loss of both readers at the same time, and report to
 * their followers within a few ticks.
 */
const READER_TIMEOUT_MILLISECONDS = 600;

/**
 * The followed peer in another data centre is replaced after this time, which
 * bounds how long a silent one goes unnoticed.
 */
const REMOTE_PEER_ROTATION_MILLISECONDS = 30_000;

/** Which other readers would inform this node of a change. */
export type ReaderContact =
  | 'fleet'
  /** Only readers of the own data centre. */
  | 'data-centre'
  | 'none';

/**
 * Decides which peers this node follows, and whether it must read by itself.
 */
export class ReaderSelection {
  private readonly statuses = new Map<string, ReaderStatus>();
  private chosen: readonly NodeIdentity[] = [];
  private isAmongReaders = false;
  /** Number of readers of the own data centre with a lower rank. */
  private rank = 0;
  private readonly remoteContact: RemoteContact;
  /** The clock that sets the turns of all readers. */
  readonly clock = new TurnClock();
  private lastActiveReaderAt: number | undefined;
  /**
   * From 0 to 1, so that nodes rotate their remote peers at different times.
   */
  private readonly phase: number;

  constructor(
    private readonly identity: NodeIdentity,
    private readonly directory: BoxDirectory,
  ) {
    this.phase = stableHash(identity.box) / STABLE_HASH_RANGE;
    this.remoteContact = new RemoteContact(identity, directory);
  }

  /** Updates the selection; to be called periodically. */
  tick(now: number): void {
    this.choose(now);
    for (const {peerAddress} of this.chosen) {
      this.status(peerAddress).tick(now);
    }
    this.lastActiveReaderAt ??= now;
    if (this.hasActiveReader(now)) {
      this.lastActiveReaderAt = now;
    }
  }

  /** What to do now to stay in contact with other data centres. */
  contactStep(now: number): ContactStep {
    return this.remoteContact.step(now);
  }

  /** A peer sent its version, whether that was requested or not. */
  peerHeard(now: number, address: string): void {
    this.remoteContact.heard(now, address);
  }

  /** A peer sent a report. */
  reportReceived(now: number, address: string, report: ReaderReport): void {
    this.status(address).reportReceived(now, report);
  }

  /**
   * Whether to request the boxes of a peer, because they have differed for a
   * while.
   */
  needsBoxesFrom(now: number, address: string, ownDigest: number): boolean {
    return this.status(address).needsBoxes(now, ownDigest);
  }

  /** Whether this node is one of the readers of its data centre. */
  get isReader(): boolean {
    return this.isAmongReaders;
  }

  /** Whether a followed node reads the store now, according to its reports. */
  hasActiveReader(now: number): boolean {
    return this.chosen.some(({peerAddress}) =>
      this.status(peerAddress).isReading(now),
    );
  }

  /** Whether this node has had no active reader for too long. */
  isIsolated(now: number): boolean {
    return now - (this.lastActiveReaderAt ?? now) > READER_TIMEOUT_MILLISECONDS;
  }

  /** Which other readers would inform this node of a change. */
  contact(now: number): ReaderContact {
    if (this.remoteContact.heardDataCentres(now).length > 0) {
      return 'fleet';
    }
    return this.hearsNeighbour(now) ? 'data-centre' : 'none';
  }

  /**
   * When the polls of this node are to end, relative to those of the readers
   * that would inform it.
   */
  pollPhase(now: number): PollPhase {
    const {dataCentre} = this.identity;
    const counts = this.readerCounts(now);
    const readers = [...counts.values()].reduce((sum, count) => sum + count, 0);
    const phase = this.isAmongReaders
      ? readersBefore(counts, dataCentre, this.rank) / readers
      : this.phase;
    return {readers, phase, clockOffset: this.clock.offset};
  }

  /**
   * Whether this node is the first of all readers, by the known boxes alone.
   */
  get isFirstReader(): boolean {
    if (!this.isAmongReaders) {
      return false;
    }
    const [first] = this.directory.dataCentres.flatMap((dataCentre) =>
      preferredReaders(this.directory, dataCentre).slice(0, 1),
    );
    return first?.box === this.identity.box;
  }

  /**
   * Whether this node must read, for others or because no reader informs it.
   */
  mustRead(now: number): boolean {
    const hasEnoughPeers = this.chosen.length >= MAXIMUM_CANDIDATES;
    return this.isAmongReaders || (this.isIsolated(now) && !hasEnoughPeers);
  }

  /** Milliseconds since the store last answered any of the followed nodes. */
  staleness(now: number): number | undefined {
    const ages = this.chosen.flatMap(({peerAddress}) => {
      const age = this.status(peerAddress).staleness(now);
      return age === undefined ? [] : [age];
    });
    return ages.length === 0 ? undefined : Math.min(...ages);
  }

  /** The followed node with the most recent data of the store. */
  freshestReader(now: number): string | undefined {
    const ageOf = ({peerAddress}: NodeIdentity): number =>
      this.status(peerAddress).staleness(now) ?? Number.POSITIVE_INFINITY;
    const byAge = [...this.chosen].sort((a, b) => ageOf(a) - ageOf(b));
    return byAge[0]?.peerAddress;
  }

  /** The peers to follow now. */
  followed(now: number): FollowedPeers {
    const near = this.chosen.map(({peerAddress}) => peerAddress);
    const silent = [...this.statuses]
      .filter(([, status]) => status.isSilent(now))
      .map(([address]) => address);
    return {near, far: this.remotePeer(now), silent};
  }

  /** The readers of the other data centres, as far as known here. */
  remoteReaders(): readonly NodeIdentity[] {
    return this.directory.dataCentres
      .filter((other) => other !== this.identity.dataCentre)
      .flatMap((other) => preferredReaders(this.directory, other));
  }

  /** Addresses of the readers of all data centres, without this node. */
  readerAddresses(now: number): readonly string[] {
    const remote = this.remoteReaders().map(({peerAddress}) => peerAddress);
    return [...new Set([...this.followed(now).near, ...remote])];
  }

  /** The readers of each data centre that would inform this node. */
  private readerCounts(now: number): ReadonlyMap<string, number> {
    const {dataCentre} = this.identity;
    const remote = this.remoteContact.heardDataCentres(now);
    const heard = this.hearsNeighbour(now) ? [...remote, dataCentre] : remote;
    const counts = heard.map((each) => {
      const {length} = preferredReaders(this.directory, each);
      return [each, length] as const;
    });
    return new Map([[dataCentre, 1], ...counts]);
  }

  private hearsNeighbour(now: number): boolean {
    return this.chosen.some(({peerAddress}) =>
      this.status(peerAddress).isHeard(now),
    );
  }

  private choose(now: number): void {
    const {box: ownBox, dataCentre} = this.identity;
    const chosen: NodeIdentity[] = [];
    let reading = 0;
    let isReader = false;
    for (const record of this.directory.rankedIn(dataCentre)) {
      if (
        reading >= READERS_PER_DATA_CENTRE ||
        chosen.length >= MAXIMUM_CANDIDATES
      ) {
        break;
      }
      if (record.box === ownBox) {
        isReader = true;
        this.rank = reading;
        reading += 1;
        continue;
      }
      const status = this.status(record.peerAddress);
      if (!status.isSilent(now)) {
        chosen.push(record);
        reading += status.cannotRead ? 0 : 1;
      }
    }
    this.isAmongReaders = isReader;
    this.follow(now, chosen);
  }

  private follow(now: number, chosen: readonly NodeIdentity[]): void {
    const before = new Set(this.chosen.map(({peerAddress}) => peerAddress));
    this.chosen = chosen;
    for (const {peerAddress} of chosen) {
      if (!before.has(peerAddress)) {
        this.status(peerAddress).startFollowing(now);
      }
    }
  }

  private status(address: string): ReaderStatus {
    const found = this.statuses.get(address);
    if (found !== undefined) {
      return found;
    }
    const made = new ReaderStatus();
    this.statuses.set(address, made);
    return made;
  }

  /** One of the remote readers in rotation; nodes choose different ones. */
  private remotePeer(now: number): string | undefined {
    const {box} = this.identity;
    const readers = this.remoteReaders();
    const rotation = Math.floor(
      now / REMOTE_PEER_ROTATION_MILLISECONDS + this.phase,
    );
    const choice = stableHash(`${box} ${rotation}`) / STABLE_HASH_RANGE;
    return readers[Math.floor(choice * readers.length)]?.peerAddress;
  }
}
