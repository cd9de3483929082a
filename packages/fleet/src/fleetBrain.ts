// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * A node's knowledge of its fleet: the configuration in force, the boxes, and
 * its own record among them. Decides by (now, random, event) alone.
 */

import type {RandomSource} from '@lockpin/types';
import {BoxDirectory} from './boxDirectory.js';
import {BoxLearning} from './boxLearning.js';
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
import {FollowerNews} from './followerNews.js';
import {OwnBox} from './ownBox.js';
import {OwnRecord} from './ownRecord.js';
import {OwnUpstreamTracker} from './ownUpstream.js';
import {PeerAnswers} from './peerAnswers.js';
import {PeerAsking} from './peerAsking.js';
import {PeerQuestions} from './peerQuestions.js';
import {RunNews} from './runNews.js';
import type {RecordStream, StoredRecord} from './recordStore.js';
import {StoreDuty} from './storeDuty.js';
import type {ReadEnd} from './streamFollower.js';
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
  private readonly inForce: ConfigurationInForce;
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
    this.inForce = new ConfigurationInForce(readConfiguration);
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
    this.boxes = new BoxLearning({
      identity,
      dataCentres: start.dataCentres ?? [],
      directory,
      ownRecord,
      followerNews: this.followerNews,
      suspects: this.suspects,
      runNews: this.runNews,
    });
    this.ownBox = new OwnBox({
      identity,
      tracker: this.own,
      record: ownRecord,
      configuration: () => this.configuration,
      mayWrite: () => start.isFirst || duty.hasReadBoxes,
    });
  }

  /** Records that were none, found since the process began. */
  get wrongRecordCount(): number {
    return this.boxes.wrongCount;
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
        return this.readEnded(now, random, event.stream, event);
      case 'write-ended':
        return this.ownBox.writeEnded(now, event.result);
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
        return this.learnFromPeer(now, event.address, event.knowledge);
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
      ...this.ownBox.write(now),
      ...this.boxes.forget(now),
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
    if (news.kind === 'boxes') {
      return this.boxes.fromPeer(now, 'peer', news.boxes);
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
    end: ReadEnd,
  ): readonly FleetAction[] {
    const actions = [...this.duty.readEnded(now, random, stream, end)];
    const {result} = end;
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
    return this.boxes.fromStore(now, record);
  }

  /** What was asked of peers for the sake of a newer version is over with it. */
  private noteVersion(actions: readonly FleetAction[]): readonly FleetAction[] {
    if (actions.some(({kind}) => kind === 'configuration-changed')) {
      this.peers.versionCame(this.version);
      this.duty.versionCame();
      const services = this.configuration?.services ?? [];
      this.directory.declare(new Set(services.map(({name}) => name)));
    }
    return actions;
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
      : [
          ...notes,
          ...this.noteVersion(
            this.inForce.adopt(configuration, `peer ${address}`),
          ),
        ];
  }
}
