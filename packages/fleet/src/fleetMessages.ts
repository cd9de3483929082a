// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Events and actions of the fleet state machine. */

import type {Era, UpstreamIncarnation} from '@lockpin/types';
import type {BoxRecord} from './boxRecord.js';
import type {DeclaredConfiguration} from './declaredConfiguration.js';
import type {
  AnnouncementProblem,
  OwnUpstream,
  UpstreamAnnouncement,
} from './ownUpstream.js';
import type {ReaderReport} from './readerStatus.js';
import type {FollowedPeers} from './nodeIdentity.js';
import type {
  RecordPage,
  RecordStream,
  StoreResult,
  StoredRecord,
} from './recordStore.js';
import type {StreamRead} from './streamFollower.js';

/** A query to another node, sent when the store does not answer. */
export interface PeerQuery {
  /** Version of the querying node; 0 if it has none. */
  readonly version: number;
  /**
   * Digest of the querying node's box records, if it wants the peer's records
   * when they differ; undefined if it wants none.
   */
  readonly boxesDigest: number | undefined;
  /** The querying node's own record, if it has one. */
  readonly own: BoxRecord | undefined;
}

/** A node's reply to a query. */
export interface PeerQueryReply {
  /** Only if newer than the querying node's. */
  readonly configuration: DeclaredConfiguration | undefined;
  readonly boxes: readonly BoxRecord[];
}

/** An update that a node pushes to its followers or to other nodes. */
export type FleetUpdate =
  | {
      readonly kind: 'report';
      /** Where the sender can be queried. */
      readonly address: string;
      readonly report: ReaderReport;
    }
  /** Box records that were new to the sender. */
  | {readonly kind: 'boxes'; readonly boxes: readonly BoxRecord[]}
  /** The store was restored to an earlier state and has to be read again. */
  | {readonly kind: 'store-restored'; readonly era: Era}
  /** Boxes whose newest records the store lost in a restore. */
  | {
      readonly kind: 'records-lost';
      readonly era: Era;
      readonly boxes: readonly string[];
    };

/** An input of the state machine. */
export type FleetEvent =
  /**
   * Sent periodically, with the number of nodes that follow this one; 0 if
   * omitted.
   */
  | {readonly kind: 'tick'; readonly followers?: number}
  | {readonly kind: 'follower-added'}
  /** This node is about to stop; others should read the store. */
  | {readonly kind: 'leaving'}
  /** An update arrived from another node. */
  | {readonly kind: 'update-received'; readonly news: FleetUpdate}
  | {
      readonly kind: 'read-ended';
      readonly stream: RecordStream;
      /** As in the action that started the read. */
      readonly read: number;
      readonly result: StoreResult<RecordPage>;
    }
  | {readonly kind: 'write-ended'; readonly result: StoreResult<undefined>}
  /** The upstream of this box crashed while it ran these requests. */
  | {readonly kind: 'runs-crashed'; readonly digests: readonly string[]}
  /** A run of a request ended here without crashing the upstream. */
  | {readonly kind: 'run-survived'; readonly digest: string}
  /** An operator lifts the quarantine of a request. */
  | {readonly kind: 'quarantine-lifted'; readonly digest: string}
  /** A caller presented a key that is unknown in the version in force. */
  | {readonly kind: 'unknown-key-presented'}
  | {
      readonly kind: 'upstream-announced';
      readonly announcement: UpstreamAnnouncement;
    }
  /**
   * Whether other nodes can reach this box; it offers its upstream to them only
   * then. True until the first of these events.
   */
  | {readonly kind: 'reachability-changed'; readonly isReachable: boolean}
  /** A process of this box's upstream states that it is leaving. */
  | {
      readonly kind: 'upstream-leaving';
      readonly incarnation: UpstreamIncarnation | undefined;
    }
  /** A peer reported the version in force there. */
  | {
      readonly kind: 'peer-version-reported';
      readonly address: string;
      readonly version: number;
    }
  /** A peer requested the version; its agreed clock shows this time. */
  | {readonly kind: 'version-requested'; readonly clock: number}
  | {
      readonly kind: 'peer-replied';
      readonly address: string;
      /** Undefined if the peer did not reply. */
      readonly reply: PeerQueryReply | undefined;
    };

/** An output of the state machine. */
export type FleetAction =
  | StreamRead
  | {readonly kind: 'write'; readonly record: StoredRecord}
  /** Delete the record of a departed box from the store. */
  | {readonly kind: 'delete-record'; readonly key: string}
  /** Write the record of a departed box to the store again. */
  | {readonly kind: 'write-on-behalf'; readonly record: StoredRecord}
  | {
      readonly kind: 'query-peer';
      readonly address: string;
      readonly query: PeerQuery;
    }
  /** Follow exactly these nodes from now on. */
  | {readonly kind: 'follow-peers'; readonly peers: FollowedPeers}
  | {readonly kind: 'notify-followers'; readonly news: FleetUpdate}
  /** Request the version in force from the node at this address. */
  | {
      readonly kind: 'request-version';
      readonly address: string;
      /** The time of the clock that readers agree on, in milliseconds. */
      readonly clock: number;
    }
  /** The node did not reply; the connection to it may be dead. */
  | {readonly kind: 'peer-unresponsive'; readonly address: string}
  /** Notify the entries that send calls to this node immediately. */
  | {readonly kind: 'notify-entries'; readonly news: FleetUpdate}
  /** Notify the nodes at these addresses immediately. */
  | {
      readonly kind: 'notify-nodes';
      readonly addresses: readonly string[];
      readonly news: FleetUpdate;
    }
  /** No upstream may run this request. */
  | {readonly kind: 'request-quarantined'; readonly digest: string}
  /** A newer version is now in force. */
  | {
      readonly kind: 'configuration-changed';
      readonly configuration: DeclaredConfiguration;
      readonly source: string;
    }
  /**
   * The announcement is from another writer or names no usable upstream, and
   * has no effect.
   */
  | {
      readonly kind: 'announcement-refused';
      readonly problem: AnnouncementProblem;
    }
  | {
      readonly kind: 'upstream-changed';
      readonly upstream: OwnUpstream;
    }
  /** An event for the log and the timeline. */
  | {
      readonly kind: 'log-event';
      readonly event: string;
      readonly subject: string;
      readonly detail: Readonly<Record<string, string | number | boolean>>;
    };
