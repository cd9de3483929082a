// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * A node's knowledge of its fleet: the configuration in force, the boxes, and
 * its own record among them. Decides by (now, random, event) alone.
 */

import type {RandomSource} from '@lockpin/types';
import {BoxDirectory} from './boxDirectory.js';
import {BoxLearning} from './boxLearning.js';
import type {ReadConfiguration} from './configurationInForce.js';
import {ConfigurationLearning} from './configurationLearning.js';
import type {DeclaredConfiguration} from './declaredConfiguration.js';
import type {
  FleetAction,
  FleetEvent,
  FleetNews,
  NodeIdentity,
  PeerKnowledge,
  PeerQuestion,
} from './fleetMessages.js';
import {FollowerNews} from './followerNews.js';
import {LostRecordDuty} from './lostRecordDuty.js';
import {LostRecords} from './lostRecords.js';
import {OwnBox} from './ownBox.js';
import {OwnRecord} from './ownRecord.js';
import {OwnUpstreamTracker} from './ownUpstream.js';
import {PeerAnswers} from './peerAnswers.js';
import {PeerAsking} from './peerAsking.js';
import {PeerQuestions} from './peerQuestions.js';
import {RunNews} from './runNews.js';
import type {RecordPage, RecordStream, StoreResult} from './recordStore.js';
import {StoreAnswers} from './storeAnswers.js';
import {StoreDuty} from './storeDuty.js';
import type {StoreEra} from './storeEra.js';
import {SuspectRequests} from './suspectRequests.js';

/** How a fleet is run that is not the same at every start. */
export interface FleetStart {
  /** The fleet starts for the first time: the store has no record of any box. */
  readonly isFirst: boolean;
  /** Of the configuration, in milliseconds; undefined for no bound of its own. */
  readonly longestRead?: number;
  /** Those that boxes may name; any where none are given. */
  readonly dataCentres?: readonly string[];
}

/** Knows the fleet as far as this node has heard. */
export class FleetBrain {
  readonly directory = new BoxDirectory();
  readonly own = new OwnUpstreamTracker();
  readonly duty: StoreDuty;
  readonly suspects = new SuspectRequests();
  private readonly learning: ConfigurationLearning;
  private readonly storeAnswers: StoreAnswers;
  private readonly lostDuty: LostRecordDuty;
  private readonly ownRecord: OwnRecord;
  private readonly peers: PeerAsking;
  private readonly answers: PeerAnswers;
  private readonly questions: PeerQuestions;
  private readonly followerNews: FollowerNews;
  /** Of what peers told with their questions; written with the next event. */
  private readonly notes: FleetAction[] = [];
  /** Nodes that followed this one at the last tick. */
  private followers = 0;
  private readonly runNews: RunNews;
  private readonly boxes: BoxLearning;
  private readonly ownBox: OwnBox;

  constructor(
    private readonly identity: NodeIdentity,
    readConfiguration: ReadConfiguration,
    start: FleetStart = {isFirst: false},
  ) {
    const {directory} = this;
    this.ownRecord = new OwnRecord(identity, (record) =>
      this.boxes.put(record.statedAt, record),
    );
    this.duty = new StoreDuty(
      identity,
      directory,
      start.isFirst,
      start.longestRead,
    );
    this.peers = new PeerAsking(identity, directory);
    this.answers = new PeerAnswers(directory);
    this.storeAnswers = new StoreAnswers(this.duty);
    const {duty, ownRecord, peers} = this;
    const lostRecords = new LostRecords(directory);
    this.lostDuty = new LostRecordDuty({
      identity,
      directory,
      duty,
      ownRecord,
      lostRecords,
      era: () => this.storeAnswers.era.current,
    });
    this.learning = new ConfigurationLearning({
      read: readConfiguration,
      isFirstStart: start.isFirst,
      directory,
      duty,
      peers,
      ask: (address) => this.questions.ask(address, 'configuration'),
    });
    this.questions = new PeerQuestions({
      inForce: this.learning.inForce,
      directory,
      duty,
      ownRecord,
      peers,
    });
    this.followerNews = new FollowerNews(identity.peerAddress);
    this.runNews = new RunNews(identity, duty.readers);
    this.boxes = new BoxLearning({
      identity,
      dataCentres: start.dataCentres ?? [],
      directory,
      ownRecord,
      followerNews: this.followerNews,
      suspects: this.suspects,
      runNews: this.runNews,
      lostRecords,
      actsForOthers: () => duty.actsForOthers,
    });
    this.ownBox = new OwnBox({
      identity,
      tracker: this.own,
      record: ownRecord,
      configuration: () => this.configuration,
      mayWrite: () => start.isFirst || duty.hasReadBoxes,
    });
  }

  /** How often the store was restored, as far as this node knows. */
  get storeEra(): StoreEra {
    return this.storeAnswers.era;
  }

  /** Records that were none, found since the process began. */
  get wrongRecordCount(): number {
    return this.boxes.wrongCount;
  }

  get configuration(): DeclaredConfiguration | undefined {
    return this.learning.inForce.current;
  }

  get version(): number {
    return this.learning.inForce.version;
  }

  handle(
    now: number,
    random: RandomSource,
    event: FleetEvent,
  ): readonly FleetAction[] {
    const notes = this.notes.splice(0);
    const actions = [...notes, ...this.decide(now, random, event)];
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
        return this.readEnded(now, random, event);
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
        return this.ownBox.announced(now, event.announcement);
      case 'peer-version-heard':
        return this.questions.versionHeard(
          now,
          random,
          event.address,
          event.version,
        );
      case 'peer-replied':
        this.questions.ended(event.address, event.knowledge);
        this.learning.replied(event.address);
        return [
          ...this.learnFromPeer(now, event.address, event.knowledge),
          ...this.learning.due(now, random),
        ];
    }
  }

  /** Answers another node's question, and learns what it told. */
  answer(now: number, question: PeerQuestion): PeerKnowledge {
    if (question.own !== undefined) {
      this.notes.push(...this.boxes.fromPeer(now, 'peer', [question.own]));
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
    return [
      ...this.duty.goOn(now),
      ...this.lostDuty.due(now, random),
      ...this.ownBox.write(now),
      ...this.boxes.forget(now),
      ...this.learning.due(now, random),
      ...this.questions.due(now, random),
    ];
  }

  /** Each second in which some boxes do not know costs upstreams: see RunNews. */
  private tellOfRuns(now: number): readonly FleetAction[] {
    const actions: FleetAction[] = [];
    if (this.suspects.takeHasMoreToTell()) {
      this.ownRecord.runsChanged(now, this.suspects.reports);
      actions.push(...this.ownBox.write(now));
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
    switch (news.kind) {
      case 'boxes':
        return this.boxes.fromPeer(now, 'peer', news.boxes);
      case 'records-lost':
        return this.lostDuty.told(now, random, news);
      case 'store-restored':
        return [
          ...this.storeAnswers.heard(now, news.era),
          ...this.goOn(now, random),
        ];
      case 'report':
        return this.reported(now, random, news);
    }
  }

  private reported(
    now: number,
    random: RandomSource,
    {address, report}: FleetNews & {readonly kind: 'report'},
  ): readonly FleetAction[] {
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
    {stream, read, result}: FleetEvent & {readonly kind: 'read-ended'},
  ): readonly FleetAction[] {
    const checked = this.storeAnswers.check(now, stream, result);
    const end = {read, result: checked.result};
    return [
      ...checked.actions,
      ...this.duty.readEnded(now, random, stream, end),
      ...(end.result.ok ? this.take(now, stream, end.result.value) : []),
      ...this.goOn(now, random),
    ];
  }

  private writeEnded(
    now: number,
    result: StoreResult<undefined>,
  ): readonly FleetAction[] {
    const checked = this.storeAnswers.check(now, 'write', result);
    return [...checked.actions, ...this.ownBox.writeEnded(now, checked.result)];
  }

  private take(
    now: number,
    stream: RecordStream,
    page: RecordPage,
  ): readonly FleetAction[] {
    return stream === 'configuration'
      ? this.learning.fromStore(now, page)
      : this.boxes.fromStore(now, page);
  }

  private learnFromPeer(
    now: number,
    address: string,
    knowledge: PeerKnowledge | undefined,
  ): readonly FleetAction[] {
    if (knowledge === undefined) {
      return [];
    }
    const others = knowledge.boxes.filter(({box}) => box !== this.identity.box);
    const notes = this.boxes.fromPeer(now, address, others);
    const {configuration} = knowledge;
    return configuration === undefined
      ? notes
      : [...notes, ...this.learning.fromPeer(address, configuration)];
  }
}
