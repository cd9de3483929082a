// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Creates and connects the components that make up a node's view of its fleet.
 */

import {BoxDirectory} from './boxDirectory.js';
import {BoxRecordHandler} from './boxRecordHandler.js';
import type {ReadConfiguration} from './configurationInForce.js';
import {ConfigurationHandler} from './configurationHandler.js';
import {FollowerUpdates} from './followerUpdates.js';
import {LostRecordRecovery} from './lostRecordRecovery.js';
import {LostRecords} from './lostRecords.js';
import type {NodeIdentity} from './nodeIdentity.js';
import {AnnouncementHandler} from './announcementHandler.js';
import {OwnRecord} from './ownRecord.js';
import {OwnUpstreamTracker} from './ownUpstream.js';
import {PeerReplies} from './peerReplies.js';
import {PeerSelector} from './peerSelector.js';
import {PeerQueries} from './peerQueries.js';
import {RunReportBroadcast} from './runReportBroadcast.js';
import {RelayTree} from './relayTree.js';
import {StoreEraCheck} from './storeEraCheck.js';
import {StoreReaderRole} from './storeReaderRole.js';
import {StoreResultHandler} from './storeResultHandler.js';
import {SuspectRequests} from './suspectRequests.js';

/** Options that may differ from one start to the next. */
export interface FleetOptions {
  /** The fleet starts for the first time, so the store has no box records. */
  readonly isFirstStart: boolean;
  /**
   * Longest read of the configuration stream, in milliseconds; undefined for no
   * limit.
   */
  readonly maximumReadMilliseconds?: number;
  /** Data centres that boxes may name; any if omitted. */
  readonly dataCentres?: readonly string[];
}

/** Each is created once and lives as long as the process. */
export interface FleetComponents {
  readonly directory: BoxDirectory;
  readonly own: OwnUpstreamTracker;
  readonly readerRole: StoreReaderRole;
  readonly suspects: SuspectRequests;
  readonly configurationHandler: ConfigurationHandler;
  readonly eraCheck: StoreEraCheck;
  readonly storeResultHandler: StoreResultHandler;
  readonly lostRecordRecovery: LostRecordRecovery;
  readonly ownRecord: OwnRecord;
  readonly peers: PeerSelector;
  readonly answers: PeerReplies;
  readonly questions: PeerQueries;
  readonly followerUpdates: FollowerUpdates;
  readonly runReportBroadcast: RunReportBroadcast;
  readonly boxes: BoxRecordHandler;
  readonly announcementHandler: AnnouncementHandler;
}

/** Creates all components of one node. */
export function createFleetComponents(
  identity: NodeIdentity,
  read: ReadConfiguration,
  options: FleetOptions,
): FleetComponents {
  const directory = new BoxDirectory();
  const {isFirstStart, maximumReadMilliseconds} = options;
  const readerRole = new StoreReaderRole(
    identity,
    directory,
    isFirstStart,
    maximumReadMilliseconds,
  );
  const ownRecord = new OwnRecord(identity, (record) =>
    boxes.put(record.statedAt, record),
  );
  const eraCheck = new StoreEraCheck(readerRole);
  const lostRecords = new LostRecords(directory);
  const suspects = new SuspectRequests((service, program) =>
    directory.runsProgram(service, program),
  );
  const followerUpdates = new FollowerUpdates(identity.peerAddress);
  const runReportBroadcast = new RunReportBroadcast(
    identity,
    readerRole.readers,
    new RelayTree(identity, directory),
  );
  const boxes = new BoxRecordHandler({
    identity,
    dataCentres: options.dataCentres ?? [],
    directory,
    ownRecord,
    followerUpdates,
    suspects,
    runReportBroadcast,
    lostRecords,
    onOwnRecord: (now, record) =>
      announcementHandler.ownRecordRead(now, record),
    isMaintainer: () => readerRole.isMaintainer,
  });
  const peers = new PeerSelector(identity, directory);
  const configurationHandler: ConfigurationHandler = new ConfigurationHandler({
    read,
    isFirstStart,
    directory,
    readerRole,
    peers,
    queryPeer: (address) => peerQueries.query(address, 'configuration'),
  });
  const {inForce} = configurationHandler;
  const peerQueries: PeerQueries = new PeerQueries({
    inForce,
    directory,
    readerRole,
    ownRecord,
    peers,
  });
  const own = new OwnUpstreamTracker();
  const announcementHandler: AnnouncementHandler = new AnnouncementHandler({
    identity,
    tracker: own,
    record: ownRecord,
    configuration: () => inForce.current,
    readerAddresses: (now) => readerRole.readers.readerAddresses(now),
    mayWrite: () => isFirstStart || readerRole.hasReadBoxes,
  });
  return {
    directory,
    own,
    readerRole,
    suspects,
    configurationHandler,
    eraCheck,
    storeResultHandler: new StoreResultHandler({
      answers: eraCheck,
      readerRole,
      configurationHandler,
      boxes,
      announcementHandler,
    }),
    lostRecordRecovery: new LostRecordRecovery({
      identity,
      directory,
      readerRole,
      ownRecord,
      lostRecords,
      era: () => eraCheck.era.current,
    }),
    ownRecord,
    peers,
    answers: new PeerReplies(directory),
    questions: peerQueries,
    followerUpdates,
    runReportBroadcast,
    boxes,
    announcementHandler,
  };
}
