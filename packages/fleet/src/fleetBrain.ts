// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * A node's knowledge of its fleet: the configuration in force, the boxes, and
 * its own record among them. Decides by (now, random, event) alone.
 */

import type {RandomSource, Result} from '@lockpin/types';
import {BoxDirectory} from './boxDirectory.js';
import {
  RECORD_RENEWAL_MILLISECONDS,
  isSameStatement,
  readBoxRecord,
  writeBoxRecord,
} from './boxRecord.js';
import type {BoxRecord} from './boxRecord.js';
import type {DeclaredConfiguration} from './declaredConfiguration.js';
import type {
  FleetAction,
  FleetEvent,
  NodeIdentity,
  PeerKnowledge,
  PeerQuestion,
} from './fleetMessages.js';
import {OwnUpstreamTracker} from './ownUpstream.js';
import type {
  RecordPage,
  RecordStream,
  StoreResult,
  StoredRecord,
} from './recordStore.js';
import {StreamFollower} from './streamFollower.js';

/** What is wrong with a document that operators wrote. */
export interface ConfigurationProblem {
  readonly field: string;
  readonly problem: string;
}

/** Reads the operators' record; undefined for a record that is none. */
export type ReadConfiguration = (
  record: StoredRecord,
) => Result<DeclaredConfiguration | undefined, ConfigurationProblem>;

/** Failed reads in a row after which the store counts as lost. */
const FAILURES_TO_LOSE_STORE = 2;

/** Time between questions to peers while the store does not answer. */
const PEER_QUESTION_MILLISECONDS = 500;

/**
 * A version that peers tell of is asked for after this, unless the store has
 * brought it by then: its answers stay within the data centre, and a large
 * configuration that every node fetches from a peer is mostly paid for twice.
 */
const STORE_FIRST_MILLISECONDS = 400;

/** Time before a failed write of the own record is tried again. */
const WRITE_PAUSE_MILLISECONDS = 400;

/** Upstreams announce themselves every second or two; three may be lost. */
const UPSTREAM_PATIENCE_MILLISECONDS = 6000;

/** A newer version that a peer has in force. */
interface HeardVersion {
  readonly address: string;
  /** When any peer first told of a version that is not in force here. */
  readonly firstAt: number;
}

/** Knows the fleet as far as this node has heard. */
export class FleetBrain {
  readonly directory = new BoxDirectory();
  readonly own = new OwnUpstreamTracker();
  private inForce: DeclaredConfiguration | undefined;
  private readonly followers: Readonly<Record<RecordStream, StreamFollower>> = {
    configuration: new StreamFollower('configuration'),
    boxes: new StreamFollower('boxes'),
  };
  /** The own record as it should be; undefined before the upstream spoke. */
  private desired: BoxRecord | undefined;
  /** The own record as the store is known to have it. */
  private stored: BoxRecord | undefined;
  /** What is being written now. */
  private writing: BoxRecord | undefined;
  private writeAfter = 0;
  private isStoreLost = false;
  private startedAt: number | undefined;
  private askAfter = 0;
  private readonly asked = new Set<string>();
  /** A newer version than the one in force, as peers told. */
  private heard: HeardVersion | undefined;

  constructor(
    private readonly identity: NodeIdentity,
    private readonly readConfiguration: ReadConfiguration,
  ) {}

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
        this.asked.delete(event.address);
        return this.learnFromPeer(event.address, event.knowledge);
    }
  }

  /** Answers another node's question, and learns what it told. */
  answer(question: PeerQuestion): PeerKnowledge {
    if (question.own !== undefined) {
      this.directory.put(question.own);
    }
    const isNewer = this.version > question.version;
    return {
      configuration: isNewer ? this.inForce : undefined,
      boxes: question.wantsBoxes ? this.directory.all() : [],
    };
  }

  private tick(now: number, random: RandomSource): readonly FleetAction[] {
    const nodes = this.directory.size;
    const reads = Object.values(this.followers).flatMap(
      (follower) => follower.due(now, random, nodes) ?? [],
    );
    this.startedAt ??= now;
    this.noteMissingUpstream(now);
    this.renew(now);
    this.directory.expire(now);
    return [
      ...reads,
      ...this.writeOwn(now),
      ...this.askForHeard(now),
      ...this.askWhileStoreIsLost(now, random),
    ];
  }

  private readEnded(
    now: number,
    random: RandomSource,
    stream: RecordStream,
    result: StoreResult<RecordPage>,
  ): readonly FleetAction[] {
    const follower = this.followers[stream];
    follower.ended(now, random, result);
    const actions: FleetAction[] = [...this.noteStore(stream, result)];
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
    this.stored = record;
    const {desired} = this;
    // A write of an earlier process of this box, or one done late.
    if (desired !== undefined && record.statedAt > desired.statedAt) {
      this.state(Math.max(now, record.statedAt + 1), desired);
    }
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
    this.heard = undefined;
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
    const {service, slots, takesWork, coldUntil} = upstream;
    this.state(Math.max(now, (this.stored?.statedAt ?? 0) + 1), {
      ...this.identity,
      service,
      slots,
      takesWork,
      coldUntil,
      statedAt: 0,
    });
    return [{kind: 'upstream-changed', upstream}, ...this.writeOwn(now)];
  }

  /** Makes a statement, later than any before. */
  private state(at: number, record: BoxRecord): void {
    const statedAt = Math.max(at, (this.desired?.statedAt ?? 0) + 1);
    this.desired = {...record, statedAt};
    this.directory.put(this.desired);
  }

  /**
   * The store says of this box that its upstream takes work, from before a
   * restart, but no upstream has announced itself since.
   */
  private noteMissingUpstream(now: number): void {
    const {stored, desired, startedAt = now} = this;
    if (
      desired === undefined &&
      stored?.takesWork === true &&
      now - startedAt > UPSTREAM_PATIENCE_MILLISECONDS
    ) {
      this.state(Math.max(now, stored.statedAt + 1), {
        ...stored,
        ...this.identity,
        takesWork: false,
      });
    }
  }

  private renew(now: number): void {
    const {desired} = this;
    if (
      desired !== undefined &&
      now - desired.statedAt > RECORD_RENEWAL_MILLISECONDS
    ) {
      this.state(now, desired);
    }
  }

  private writeOwn(now: number): readonly FleetAction[] {
    const {desired, stored} = this;
    const isKnown = this.followers.boxes.hasRead;
    if (
      desired === undefined ||
      !isKnown ||
      this.writing !== undefined ||
      now < this.writeAfter ||
      this.isStored(desired, stored)
    ) {
      return [];
    }
    this.writing = desired;
    return [
      {
        kind: 'write',
        record: {key: desired.box, value: writeBoxRecord(desired)},
      },
    ];
  }

  /** A restart that changes nothing needs no write, and no reads by others. */
  private isStored(desired: BoxRecord, stored: BoxRecord | undefined): boolean {
    return (
      stored !== undefined &&
      isSameStatement(desired, stored) &&
      desired.statedAt - stored.statedAt < RECORD_RENEWAL_MILLISECONDS
    );
  }

  private writeEnded(
    now: number,
    result: StoreResult<undefined>,
  ): readonly FleetAction[] {
    const {writing} = this;
    this.writing = undefined;
    if (result.ok) {
      this.stored = writing;
      return [];
    }
    // What the store has shows when its records are read on.
    this.writeAfter = now + WRITE_PAUSE_MILLISECONDS;
    const {kind, detail} = result.failure;
    return [note('own-record-not-written', this.identity.box, {kind, detail})];
  }

  private noteStore(
    stream: RecordStream,
    result: StoreResult<RecordPage>,
  ): readonly FleetAction[] {
    if (result.ok) {
      const wasLost = this.isStoreLost;
      this.isStoreLost = false;
      return wasLost ? [note('store-regained', stream, {})] : [];
    }
    const {failureCount} = this.followers[stream];
    if (this.isStoreLost || failureCount < FAILURES_TO_LOSE_STORE) {
      return [];
    }
    this.isStoreLost = true;
    const {kind, detail} = result.failure;
    return [note('store-lost', stream, {kind, detail, failureCount})];
  }

  private get isStoreInTrouble(): boolean {
    return this.isStoreLost || this.followers.configuration.failureCount > 0;
  }

  private askWhileStoreIsLost(
    now: number,
    random: RandomSource,
  ): readonly FleetAction[] {
    if (!this.isStoreInTrouble || now < this.askAfter) {
      return [];
    }
    this.askAfter = now + PEER_QUESTION_MILLISECONDS;
    const others = this.directory
      .all()
      .filter(({box}) => box !== this.identity.box);
    const near = others.filter(
      ({dataCentre}) => dataCentre === this.identity.dataCentre,
    );
    const pool = near.length > 0 && random() < 0.5 ? near : others;
    const chosen = pool[Math.floor(random() * pool.length)];
    return chosen === undefined ? [] : this.ask(chosen.peerAddress);
  }

  private peerVersionHeard(
    now: number,
    address: string,
    version: number,
  ): readonly FleetAction[] {
    if (!this.followers.boxes.hasRead) {
      return this.ask(address);
    }
    if (version <= this.version) {
      return [];
    }
    if (this.isStoreInTrouble) {
      return this.ask(address);
    }
    const {heard} = this;
    if (
      heard === undefined ||
      (!this.isNear(heard) && this.isNear({address}))
    ) {
      this.heard = {address, firstAt: heard?.firstAt ?? now};
    }
    return [];
  }

  private isNear({address}: Pick<HeardVersion, 'address'>): boolean {
    const {dataCentre} = this.identity;
    return this.directory
      .all()
      .some(
        (box) => box.peerAddress === address && box.dataCentre === dataCentre,
      );
  }

  /** The store did not bring in time what peers have told of. */
  private askForHeard(now: number): readonly FleetAction[] {
    const {heard} = this;
    if (heard === undefined || now - heard.firstAt < STORE_FIRST_MILLISECONDS) {
      return [];
    }
    this.heard = undefined;
    return this.ask(heard.address);
  }

  private ask(address: string): readonly FleetAction[] {
    if (this.asked.has(address)) {
      return [];
    }
    this.asked.add(address);
    const question: PeerQuestion = {
      version: this.version,
      wantsBoxes: !this.followers.boxes.hasRead || this.isStoreLost,
      own: this.desired,
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

function note(
  event: string,
  subject: string,
  detail: Readonly<Record<string, string | number | boolean>>,
): FleetAction {
  return {kind: 'note', event, subject, detail};
}
