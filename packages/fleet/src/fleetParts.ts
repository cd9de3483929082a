// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Creates and connects the components that make up a node's knowledge of its
 * fleet.
 */

import {BoxDirectory} from './boxDirectory.js';
import {BoxLearning} from './boxLearning.js';
import type {ReadConfiguration} from './configurationInForce.js';
import {ConfigurationLearning} from './configurationLearning.js';
import {FollowerNews} from './followerNews.js';
import {LostRecordDuty} from './lostRecordDuty.js';
import {LostRecords} from './lostRecords.js';
import type {NodeIdentity} from './nodeIdentity.js';
import {OwnBox} from './ownBox.js';
import {OwnRecord} from './ownRecord.js';
import {OwnUpstreamTracker} from './ownUpstream.js';
import {PeerAnswers} from './peerAnswers.js';
import {PeerAsking} from './peerAsking.js';
import {PeerQuestions} from './peerQuestions.js';
import {RunNews} from './runNews.js';
import {RunRelay} from './runRelay.js';
import {StoreAnswers} from './storeAnswers.js';
import {StoreDuty} from './storeDuty.js';
import {StoreResults} from './storeResults.js';
import {SuspectRequests} from './suspectRequests.js';

/** Options that may differ from one start to the next. */
export interface FleetStart {
  /** The fleet starts for the first time, so the store has no box records. */
  readonly isFirst: boolean;
  /**
   * Longest read of the configuration stream, in milliseconds; undefined for no
   * limit.
   */
  readonly longestRead?: number;
  /** Data centres that boxes may name; any if omitted. */
  readonly dataCentres?: readonly string[];
}

/** Each is created once and lives as long as the process. */
export interface FleetParts {
  readonly directory: BoxDirectory;
  readonly own: OwnUpstreamTracker;
  readonly duty: StoreDuty;
  readonly suspects: SuspectRequests;
  readonly learning: ConfigurationLearning;
  readonly storeAnswers: StoreAnswers;
  readonly storeResults: StoreResults;
  readonly lostDuty: LostRecordDuty;
  readonly ownRecord: OwnRecord;
  readonly peers: PeerAsking;
  readonly answers: PeerAnswers;
  readonly questions: PeerQuestions;
  readonly followerNews: FollowerNews;
  readonly runNews: RunNews;
  readonly boxes: BoxLearning;
  readonly ownBox: OwnBox;
}

/** Creates all components of one node. */
export function createFleetParts(
  identity: NodeIdentity,
  read: ReadConfiguration,
  options: FleetStart,
): FleetParts {
  const directory = new BoxDirectory();
  const {isFirst: isFirstStart, longestRead: maximumReadMilliseconds} = options;
  const readerRole = new StoreDuty(
    identity,
    directory,
    isFirstStart,
    maximumReadMilliseconds,
  );
  const ownRecord = new OwnRecord(identity, (record) =>
    boxes.put(record.statedAt, record),
  );
  const eraCheck = new StoreAnswers(readerRole);
  const lostRecords = new LostRecords(directory);
  const suspects = new SuspectRequests((service, program) =>
    directory.runsProgram(service, program),
  );
  const followerUpdates = new FollowerNews(identity.peerAddress);
  const runReportBroadcast = new RunNews(
    identity,
    readerRole.readers,
    new RunRelay(identity, directory),
  );
  const boxes = new BoxLearning({
    identity,
    dataCentres: options.dataCentres ?? [],
    directory,
    ownRecord,
    followerNews: followerUpdates,
    suspects,
    runNews: runReportBroadcast,
    lostRecords,
    actsForOthers: () => readerRole.actsForOthers,
  });
  const peers = new PeerAsking(identity, directory);
  const configurationHandler: ConfigurationLearning = new ConfigurationLearning(
    {
      read,
      isFirstStart,
      directory,
      duty: readerRole,
      peers,
      ask: (address) => questions.ask(address, 'configuration'),
    },
  );
  const {inForce} = configurationHandler;
  const questions: PeerQuestions = new PeerQuestions({
    inForce,
    directory,
    duty: readerRole,
    ownRecord,
    peers,
  });
  const own = new OwnUpstreamTracker();
  const announcementHandler = new OwnBox({
    identity,
    tracker: own,
    record: ownRecord,
    configuration: () => inForce.current,
    mayWrite: () => isFirstStart || readerRole.hasReadBoxes,
  });
  return {
    directory,
    own,
    duty: readerRole,
    suspects,
    learning: configurationHandler,
    storeAnswers: eraCheck,
    storeResults: new StoreResults({
      answers: eraCheck,
      duty: readerRole,
      learning: configurationHandler,
      boxes,
      ownBox: announcementHandler,
    }),
    lostDuty: new LostRecordDuty({
      identity,
      directory,
      duty: readerRole,
      ownRecord,
      lostRecords,
      era: () => eraCheck.era.current,
    }),
    ownRecord,
    peers,
    answers: new PeerAnswers(directory),
    questions,
    followerNews: followerUpdates,
    runNews: runReportBroadcast,
    boxes,
    ownBox: announcementHandler,
  };
}
