// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * A node's knowledge of its fleet: the configuration in force, the boxes, and
 * its own record among them. Decides by (now, random, event) alone.
 */

import type {RandomSource} from '@lockpin/types';
import {parseAddress, stableHash} from '@lockpin/utils';
import {BoxDirectory} from './boxDirectory.js';
import {RECORD_LIFE_MILLISECONDS, readBoxRecord} from './boxRecord.js';
import type {BoxRecord} from './boxRecord.js';
import {ConfigurationInForce} from './configurationInForce.js';
import type {ReadConfiguration} from './configurationInForce.js';
import type {DeclaredConfiguration} from './declaredConfiguration.js';
import type {
  FleetAction,
  FleetEvent,
  FleetNews,
  NodeIdentity,
  PeerKnowledge,
  PeerQuestion,
} from './fleetMessages.js';
import {note} from './fleetNote.js';
import {FollowerNews} from './followerNews.js';
import {OwnRecord} from './ownRecord.js';
import {OwnUpstreamTracker} from './ownUpstream.js';
import type {AnnouncementProblem, UpstreamAnnouncement} from './ownUpstream.js';
import {PeerAnswers} from './peerAnswers.js';
import {PeerAsking} from './peerAsking.js';
import {PeerQuestions} from './peerQuestions.js';
import {RunNews} from './runNews.js';
import type {
  RecordPage,
  RecordStream,
  StoreResult,
  StoredRecord,
} from './recordStore.js';
import {StoreDuty} from './storeDuty.js';
import {SuspectRequests} from './suspectRequests.js';

/** How a fleet is run that is not the same at every start. */
export interface FleetStart {
  /** The fleet starts for the first time: the store has no record of any box. */
  readonly isFirst: boolean;
  /** Of the configuration, in milliseconds; undefined for no bound of its own. */
  readonly longestRead?: number;
}

/** Knows the fleet as far as this node has heard. */
export class FleetBrain {
  readonly directory = new BoxDirectory();
  readonly own = new OwnUpstreamTracker();
  readonly duty: StoreDuty;
  readonly suspects = new SuspectRequests();
  private readonly inForce: ConfigurationInForce;
  private readonly ownRecord: OwnRecord;
  private readonly peers: PeerAsking;
  private readonly answers: PeerAnswers;
  private readonly questions: PeerQuestions;
  private readonly followerNews: FollowerNews;
  /** Nodes that followed this one at the last tick. */
  private followers = 0;
  private readonly runNews: RunNews;

  constructor(
    private readonly identity: NodeIdentity,
    readConfiguration: ReadConfiguration,
    private readonly start: FleetStart = {isFirst: false},
  ) {
    const {directory} = this;
    this.inForce = new ConfigurationInForce(readConfiguration);
    this.ownRecord = new OwnRecord(identity, (record) =>
      this.put(record.statedAt, record),
    );
    this.duty = new StoreDuty(
      identity,
      directory,
      start.isFirst,
      start.longestRead,
    );
    this.peers = new PeerAsking(identity, directory);
    this.answers = new PeerAnswers(directory);
    const {inForce, duty, ownRecord, peers} = this;
    this.questions = new PeerQuestions({
      inForce,
      directory,
      duty,
      ownRecord,
      peers,
    });
    this.followerNews = new FollowerNews(identity.peerAddress);
    this.runNews = new RunNews(identity, duty.readers);
  }

  get configuration(): DeclaredConfiguration | undefined {
    return this.inForce.current;
  }

  get version(): number {
    return this.inForce.version;
  }

  handle(
    now: number,
    random: RandomSource,
    event: FleetEvent,
  ): readonly FleetAction[] {
    const actions = this.decide(now, random, event);
    const findings = this.suspects.takeFindings(now);
    return [...actions, ...findings, ...this.tellOfRuns(now)];
  }

  private decide(
    now: number,
    random: RandomSource,
    event: FleetEvent,
  ): readonly FleetAction[] {
    switch (event.kind) {
      case 'tick':
        return this.tick(now, random, event.followers ?? 0);
      case 'follower-came':
        this.followerNews.followerCame();
        return [];
      case 'leaving':
        this.duty.leave();
        return [];
      case 'news-told':
        return this.newsTold(now, random, event.news);
      case 'read-ended':
        return this.readEnded(now, random, event.stream, event.result);
      case 'write-ended':
        return this.writeEnded(now, event.result);
      case 'runs-crashed':
        this.suspects.crashed(now, event.digests);
        return [];
      case 'run-survived':
        this.suspects.survived(now, event.digest);
        return [];
      case 'unknown-key-shown':
        return this.askForKeys(now);
      case 'upstream-announced':
        return this.announced(now, event);
      case 'peer-version-heard':
        return this.questions.versionHeard(
          now,
          random,
          event.address,
          event.version,
        );
      case 'peer-replied':
        this.peers.ended(event.address);
        return this.learnFromPeer(now, event.address, event.knowledge);
    }
  }

  /** Answers another node's question, and learns what it told. */
  answer(question: PeerQuestion): PeerKnowledge {
    if (question.own !== undefined) {
      this.put(question.own.statedAt, question.own);
    }
    return this.answers.to(question, this.configuration);
  }

  /** Whether a peer has not replied yet. */
  get isAskingPeer(): boolean {
    return this.peers.isAsking;
  }

  /** Whether this node reads the store itself, and hears of each change at once. */
  isCurrent(now: number): boolean {
    return this.duty.isServing(now);
  }

  /** A reader may know a newer version, whose news is still on its way. */
  private askForKeys(now: number): readonly FleetAction[] {
    const address = this.duty.readers.freshestReader(now);
    return address === undefined || this.isCurrent(now)
      ? []
      : this.questions.ask(address, 'configuration');
  }

  private tick(
    now: number,
    random: RandomSource,
    followers: number,
  ): readonly FleetAction[] {
    return [...this.goOn(now, random), ...this.tellFollowers(now, followers)];
  }

  /** What is due now, whatever has happened. */
  private goOn(now: number, random: RandomSource): readonly FleetAction[] {
    this.ownRecord.tick(now);
    const gone = this.directory.expire(now);
    return [
      ...this.duty.goOn(now, random),
      ...this.writeOwn(now),
      ...gone.flatMap((box) => this.dropRecord(box)),
      ...this.questions.due(now, random),
    ];
  }

  /** Each second in which some boxes do not know costs upstreams: see RunNews. */
  private tellOfRuns(now: number): readonly FleetAction[] {
    const actions: FleetAction[] = [];
    if (this.suspects.takeHasMoreToTell()) {
      this.ownRecord.runsChanged(now, this.suspects.reports);
      actions.push(...this.writeOwn(now));
    }
    if (this.runNews.hasUntold) {
      actions.push(...this.runNews.take(now));
      actions.push(...this.tellFollowers(now, this.followers));
    }
    return actions;
  }

  private tellFollowers(
    now: number,
    followers: number,
  ): readonly FleetAction[] {
    this.followers = followers;
    const state = {
      version: this.version,
      boxesDigest: this.directory.digest,
      isReading: this.duty.isServing(now),
      storeAge: this.duty.storeAge(now),
    };
    return this.followerNews
      .due(now, followers, state)
      .map((news) => ({kind: 'tell-followers', news}));
  }

  /** A node that this one follows told what it has read. */
  private newsTold(
    now: number,
    random: RandomSource,
    news: FleetNews,
  ): readonly FleetAction[] {
    if (news.kind === 'boxes') {
      news.boxes.forEach((record) => this.learnBox(now, record));
      return [];
    }
    const {address, report} = news;
    this.duty.readers.heard(now, address, report);
    const {digest} = this.directory;
    const asks = this.duty.readers.wantsBoxesOf(now, address, digest)
      ? this.questions.ask(address, 'with-boxes')
      : [];
    return [
      ...asks,
      ...this.questions.versionHeard(now, random, address, report.version),
    ];
  }

  private readEnded(
    now: number,
    random: RandomSource,
    stream: RecordStream,
    result: StoreResult<RecordPage>,
  ): readonly FleetAction[] {
    const actions = [...this.duty.readEnded(now, random, stream, result)];
    if (result.ok) {
      for (const record of result.value.records) {
        actions.push(...this.take(now, stream, record));
      }
    }
    return [...actions, ...this.goOn(now, random)];
  }

  private take(
    now: number,
    stream: RecordStream,
    record: StoredRecord,
  ): readonly FleetAction[] {
    if (stream === 'configuration') {
      return this.noteVersion(this.inForce.take(record));
    }
    const box = record.value && readBoxRecord(record.value);
    if (box !== undefined) {
      this.learnBox(now, box);
      this.tellOfOldStatement(box);
    }
    return [];
  }

  /** A box whose earlier write was done late hears of it, and writes again. */
  private tellOfOldStatement(record: BoxRecord): void {
    const known = this.directory.get(record.box);
    if (known !== undefined && known.statedAt > record.statedAt) {
      this.followerNews.boxChanged(record);
    }
  }

  private learnBox(now: number, record: BoxRecord): void {
    if (record.box === this.identity.box) {
      this.suspects.adopt(now, record);
      this.ownRecord.found(now, record);
    } else if (now - record.statedAt <= RECORD_LIFE_MILLISECONDS) {
      this.put(now, record);
    }
  }

  private put(now: number, record: BoxRecord): void {
    if (this.directory.put(record)) {
      this.followerNews.boxChanged(record);
      this.suspects.learn(now, record);
      this.runNews.learnt(record);
    }
  }

  /** What was asked of peers for the sake of a newer version is over with it. */
  private noteVersion(actions: readonly FleetAction[]): readonly FleetAction[] {
    if (actions.some(({kind}) => kind === 'configuration-changed')) {
      this.peers.versionCame();
    }
    return actions;
  }

  private announced(
    now: number,
    {announcement}: FleetEvent & {readonly kind: 'upstream-announced'},
  ): readonly FleetAction[] {
    const problem = this.problemOf(announcement);
    if (problem !== undefined) {
      return [{kind: 'announcement-refused', problem}];
    }
    const result = this.own.announced(now, announcement);
    if (result.kind === 'refused') {
      return [{kind: 'announcement-refused', problem: result.problem}];
    }
    const {upstream} = this.own;
    if (result.kind === 'unchanged' || upstream === undefined) {
      return [];
    }
    this.ownRecord.upstreamChanged(now, upstream);
    return [{kind: 'upstream-changed', upstream}, ...this.writeOwn(now)];
  }

  /** Whoever leaves is believed; work goes only to what is declared here. */
  private problemOf({
    state,
    service,
    address,
  }: UpstreamAnnouncement): AnnouncementProblem | undefined {
    const declared = this.configuration?.services ?? [];
    const isDeclared = declared.some(({name}) => name === service);
    if (state !== 'ready') {
      return undefined;
    }
    if (declared.length > 0 && !isDeclared) {
      return {field: 'service', problem: 'is not declared'};
    }
    return isOnBoxOf(this.identity.peerAddress, address)
      ? undefined
      : {field: 'address', problem: 'is not on the box of this node'};
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
    const mayWrite = this.start.isFirst || this.duty.hasReadBoxes;
    const record = mayWrite ? this.ownRecord.nextWrite(now) : undefined;
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

  private learnFromPeer(
    now: number,
    address: string,
    knowledge: PeerKnowledge | undefined,
  ): readonly FleetAction[] {
    if (knowledge === undefined) {
      return [];
    }
    knowledge.boxes
      .filter(({box}) => box !== this.identity.box)
      .forEach((record) => this.learnBox(now, record));
    const {configuration} = knowledge;
    return configuration === undefined
      ? []
      : this.noteVersion(this.inForce.adopt(configuration, `peer ${address}`));
  }
}

/** An upstream shares its box, and so the IP number, with the node that guards it. */
function isOnBoxOf(peerAddress: string, address: string): boolean {
  const own = parseAddress(peerAddress);
  const told = parseAddress(address);
  return told !== undefined && (own === undefined || own.host === told.host);
}
