// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * A node's knowledge of its fleet: the configuration in force, the boxes, and
 * its own record among them. Decides by (now, random, event) alone.
 */

import type {RandomSource, Result} from '@lockpin/types';
import {stableHash} from '@lockpin/utils';
import {BoxDirectory} from './boxDirectory.js';
import {readBoxRecord} from './boxRecord.js';
import type {BoxRecord} from './boxRecord.js';
import type {DeclaredConfiguration} from './declaredConfiguration.js';
import type {
  FleetAction,
  FleetEvent,
  NodeIdentity,
  PeerKnowledge,
  PeerQuestion,
} from './fleetMessages.js';
import {note} from './fleetNote.js';
import {OwnRecord} from './ownRecord.js';
import {OwnUpstreamTracker} from './ownUpstream.js';
import {PeerAsking} from './peerAsking.js';
import type {
  RecordPage,
  RecordStream,
  StoreResult,
  StoredRecord,
} from './recordStore.js';
import {StoreReading} from './storeReading.js';

/** What is wrong with a document that operators wrote. */
export interface ConfigurationProblem {
  readonly field: string;
  readonly problem: string;
}

/** Reads the operators' record; undefined for a record that is none. */
export type ReadConfiguration = (
  record: StoredRecord,
) => Result<DeclaredConfiguration | undefined, ConfigurationProblem>;

/** Knows the fleet as far as this node has heard. */
export class FleetBrain {
  readonly directory = new BoxDirectory();
  readonly own = new OwnUpstreamTracker();
  private inForce: DeclaredConfiguration | undefined;
  private readonly reading = new StoreReading();
  private readonly ownRecord: OwnRecord;
  private readonly peers: PeerAsking;

  constructor(
    private readonly identity: NodeIdentity,
    private readonly readConfiguration: ReadConfiguration,
  ) {
    this.ownRecord = new OwnRecord(identity, (record) =>
      this.directory.put(record),
    );
    this.peers = new PeerAsking(identity, this.directory);
  }

  get configuration(): DeclaredConfiguration | undefined {
    return this.inForce;
  }

  get version(): number {
    return this.inForce?.version ?? 0;
  }

  handle(
    now: number,
    random: RandomSource,
    event: FleetEvent,
  ): readonly FleetAction[] {
    switch (event.kind) {
      case 'tick':
        return this.tick(now, random);
      case 'read-ended':
        return this.readEnded(now, random, event.stream, event.result);
      case 'write-ended':
        return this.writeEnded(now, event.result);
      case 'upstream-announced':
        return this.announced(now, event);
      case 'peer-version-heard':
        return this.peerVersionHeard(now, event.address, event.version);
      case 'peer-replied':
        this.peers.ended(event.address);
        return this.learnFromPeer(event.address, event.knowledge);
    }
  }

  /** Answers another node's question, and learns what it told. */
  answer(question: PeerQuestion): PeerKnowledge {
    if (question.own !== undefined) {
      this.directory.put(question.own);
    }
    const isNewer = this.version > question.version;
    const {boxesDigest} = question;
    const tellsBoxes =
      boxesDigest !== undefined && boxesDigest !== this.directory.digest;
    return {
      configuration: isNewer ? this.inForce : undefined,
      boxes: tellsBoxes ? this.directory.all() : [],
    };
  }

  private tick(now: number, random: RandomSource): readonly FleetAction[] {
    const reads = this.reading.due(now, random, this.directory.size);
    this.ownRecord.tick(now);
    const gone = this.directory.expire(now);
    return [
      ...reads,
      ...this.writeOwn(now),
      ...gone.flatMap((box) => this.dropRecord(box)),
      ...this.askPeers(now, random),
    ];
  }

  private readEnded(
    now: number,
    random: RandomSource,
    stream: RecordStream,
    result: StoreResult<RecordPage>,
  ): readonly FleetAction[] {
    const actions = [...this.reading.ended(now, random, stream, result)];
    if (result.ok) {
      for (const record of result.value.records) {
        actions.push(...this.take(now, stream, record));
      }
    }
    return [...actions, ...this.tick(now, random)];
  }

  private take(
    now: number,
    stream: RecordStream,
    record: StoredRecord,
  ): readonly FleetAction[] {
    if (stream === 'configuration') {
      return this.takeConfiguration(record);
    }
    const box = record.value && readBoxRecord(record.value);
    if (box !== undefined) {
      this.learnBox(now, box);
    }
    return [];
  }

  /** A document that cannot be read leaves the version in force as it is. */
  private takeConfiguration(record: StoredRecord): readonly FleetAction[] {
    const read = this.readConfiguration(record);
    if (!read.ok) {
      const {field, problem} = read.failure;
      return [note('configuration-wrong', record.key, {field, problem})];
    }
    return read.value === undefined ? [] : this.adopt(read.value, 'store');
  }

  private learnBox(now: number, record: BoxRecord): void {
    if (record.box !== this.identity.box) {
      this.directory.put(record);
      return;
    }
    this.ownRecord.found(now, record);
  }

  /** Never goes back: an older version than the one in force is passed over. */
  private adopt(
    configuration: DeclaredConfiguration,
    source: string,
  ): readonly FleetAction[] {
    if (configuration.version <= this.version) {
      return [];
    }
    this.inForce = configuration;
    this.peers.versionCame();
    return [{kind: 'configuration-changed', configuration, source}];
  }

  private announced(
    now: number,
    {announcement}: FleetEvent & {readonly kind: 'upstream-announced'},
  ): readonly FleetAction[] {
    const isChanged = this.own.announced(now, announcement);
    const {upstream} = this.own;
    if (!isChanged || upstream === undefined) {
      return [];
    }
    this.ownRecord.upstreamChanged(now, upstream);
    return [{kind: 'upstream-changed', upstream}, ...this.writeOwn(now)];
  }

  /**
   * The store keeps the newest record of each key for good, and boxes are replaced
   * every day. Of the nodes that forget a box, one takes its record away.
   */
  private dropRecord(key: string): readonly FleetAction[] {
    const rank = (box: string): number => stableHash(`${box} ${key}`);
    const own = rank(this.identity.box);
    const isFirst = this.directory.all().every(({box}) => rank(box) <= own);
    return isFirst ? [{kind: 'drop-record', key}] : [];
  }

  /** What the store has of this box is to be known before it is written. */
  private writeOwn(now: number): readonly FleetAction[] {
    const record = this.reading.hasReadBoxes
      ? this.ownRecord.nextWrite(now)
      : undefined;
    return record === undefined ? [] : [{kind: 'write', record}];
  }

  private writeEnded(
    now: number,
    result: StoreResult<undefined>,
  ): readonly FleetAction[] {
    this.ownRecord.writeEnded(now, result);
    if (result.ok) {
      return [];
    }
    const {kind, detail} = result.failure;
    return [note('own-record-not-written', this.identity.box, {kind, detail})];
  }

  private askPeers(now: number, random: RandomSource): readonly FleetAction[] {
    const overdue = this.peers.overdue(now);
    const instead = this.reading.isInTrouble
      ? this.peers.withoutStore(now, random)
      : undefined;
    return [overdue, instead].flatMap((address) =>
      address === undefined ? [] : this.ask(address),
    );
  }

  private peerVersionHeard(
    now: number,
    address: string,
    version: number,
  ): readonly FleetAction[] {
    if (!this.reading.hasReadBoxes) {
      return this.ask(address);
    }
    if (version <= this.version) {
      return [];
    }
    if (this.reading.isInTrouble) {
      return this.ask(address);
    }
    this.peers.heardOfNewer(now, address);
    return [];
  }

  private ask(address: string): readonly FleetAction[] {
    if (!this.peers.begin(address)) {
      return [];
    }
    const wantsBoxes = !this.reading.hasReadBoxes || this.reading.isLost;
    const question: PeerQuestion = {
      version: this.version,
      boxesDigest: wantsBoxes ? this.directory.digest : undefined,
      own: this.ownRecord.statement,
    };
    return [{kind: 'ask-peer', address, question}];
  }

  private learnFromPeer(
    address: string,
    knowledge: PeerKnowledge | undefined,
  ): readonly FleetAction[] {
    if (knowledge === undefined) {
      return [];
    }
    knowledge.boxes
      .filter(({box}) => box !== this.identity.box)
      .forEach((record) => this.directory.put(record));
    const {configuration} = knowledge;
    return configuration === undefined
      ? []
      : this.adopt(configuration, `peer ${address}`);
  }
}
