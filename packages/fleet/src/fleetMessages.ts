// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What the fleet's control is told, and what it decides. */

import type {Era} from '@lockpin/types';
import type {BoxRecord} from './boxRecord.js';
import type {DeclaredConfiguration} from './declaredConfiguration.js';
import type {
  AnnouncementProblem,
  OwnUpstream,
  UpstreamAnnouncement,
} from './ownUpstream.js';
import type {ReaderReport} from './readerStanding.js';
import type {FollowedPeers} from './nodeIdentity.js';
import type {
  RecordPage,
  RecordStream,
  StoreResult,
  StoredRecord,
} from './recordStore.js';
import type {StreamRead} from './streamFollower.js';

/** A question to another node, asked when the store does not answer. */
export interface PeerQuestion {
  /** The asker's version; 0 when it has none. */
  readonly version: number;
  /**
   * Digest of the records of boxes that the asker has, when it wants those of the
   * peer that tell more; undefined when it wants none.
   */
  readonly boxesDigest: number | undefined;
  /** The asker's own record, if it has one to tell. */
  readonly own: BoxRecord | undefined;
}

/** What another node knows. */
export interface PeerKnowledge {
  /** Only when it is newer than the asker's. */
  readonly configuration: DeclaredConfiguration | undefined;
  readonly boxes: readonly BoxRecord[];
}

/** What a node tells those that follow it, unasked. */
export type FleetNews =
  | {
      readonly kind: 'report';
      /** Where the teller can be asked for what it tells of. */
      readonly address: string;
      readonly report: ReaderReport;
    }
  /** Statements of boxes that the teller did not know before. */
  | {readonly kind: 'boxes'; readonly boxes: readonly BoxRecord[]}
  /** The store was restored to an earlier state: what was read of it is to be read anew. */
  | {readonly kind: 'store-restored'; readonly era: Era}
  /** Boxes whose newest statements the store has not, since it was restored. */
  | {
      readonly kind: 'records-lost';
      readonly era: Era;
      readonly boxes: readonly string[];
    };

/** What happens to the fleet's control. */
export type FleetEvent =
  /** Time goes on; with how many nodes follow this one, none where it is not said. */
  | {readonly kind: 'tick'; readonly followers?: number}
  | {readonly kind: 'follower-came'}
  /** This node will end: others had better read the store. */
  | {readonly kind: 'leaving'}
  /** A node that this one follows told something. */
  | {readonly kind: 'news-told'; readonly news: FleetNews}
  | {
      readonly kind: 'read-ended';
      readonly stream: RecordStream;
      /** As the action that began it has it. */
      readonly read: number;
      readonly result: StoreResult<RecordPage>;
    }
  | {readonly kind: 'write-ended'; readonly result: StoreResult<undefined>}
  /** The upstream of this box ended while it ran these requests. */
  | {readonly kind: 'runs-crashed'; readonly digests: readonly string[]}
  /** A run of a request ended here, and the upstream lives. */
  | {readonly kind: 'run-survived'; readonly digest: string}
  /** An operator lifts the quarantine of a request. */
  | {readonly kind: 'quarantine-lifted'; readonly digest: string}
  /** A caller showed a key that no version in force here has. */
  | {readonly kind: 'unknown-key-shown'}
  | {
      readonly kind: 'upstream-announced';
      readonly announcement: UpstreamAnnouncement;
    }
  /** A peer told the version that is in force there. */
  | {
      readonly kind: 'peer-version-heard';
      readonly address: string;
      readonly version: number;
    }
  | {
      readonly kind: 'peer-replied';
      readonly address: string;
      /** Undefined when the peer did not answer. */
      readonly knowledge: PeerKnowledge | undefined;
    };

/** What the fleet's control wants done. */
export type FleetAction =
  | StreamRead
  | {readonly kind: 'write'; readonly record: StoredRecord}
  /** The record of a box that is gone leaves the store. */
  | {readonly kind: 'drop-record'; readonly key: string}
  /** The record of a box that is gone is to be in the store again. */
  | {readonly kind: 'write-for'; readonly record: StoredRecord}
  | {
      readonly kind: 'ask-peer';
      readonly address: string;
      readonly question: PeerQuestion;
    }
  /** These nodes are to be followed from now on, and no others. */
  | {readonly kind: 'follow-peers'; readonly peers: FollowedPeers}
  | {readonly kind: 'tell-followers'; readonly news: FleetNews}
  /** The entries whose calls come here are to know this at once. */
  | {readonly kind: 'tell-entries'; readonly news: FleetNews}
  /** So are the nodes at these addresses. */
  | {
      readonly kind: 'tell-nodes';
      readonly addresses: readonly string[];
      readonly news: FleetNews;
    }
  /** No upstream is to run this request. */
  | {readonly kind: 'request-quarantined'; readonly digest: string}
  /** A newer version is in force from here on. */
  | {
      readonly kind: 'configuration-changed';
      readonly configuration: DeclaredConfiguration;
      readonly source: string;
    }
  /** Another writer's, or one that names nothing to use; nothing follows from it. */
  | {
      readonly kind: 'announcement-refused';
      readonly problem: AnnouncementProblem;
    }
  | {
      readonly kind: 'upstream-changed';
      readonly upstream: OwnUpstream;
    }
  /** For the log and the time line. */
  | {
      readonly kind: 'note';
      readonly event: string;
      readonly subject: string;
      readonly detail: Readonly<Record<string, string | number | boolean>>;
    };
