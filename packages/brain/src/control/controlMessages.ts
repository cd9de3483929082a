// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Events and actions of a node's control plane. */

import type {FoldResult, SnapshotChunk} from '@lockpin/configuration';
import type {
  Fence,
  GuardReport,
  HolderRecord,
  HolderReply,
} from '@lockpin/floor';
import type {Datagram, Member} from '@lockpin/membership';
import type {
  ApiFailure,
  ChangeOutcome,
  ChangeRecord,
  Era,
  LogRecord,
  StreamPosition,
} from '@lockpin/types';

/** The streams of the log that lockpin uses. */
export type StreamName = 'configuration' | 'holders' | 'snapshots';

/** The result of a log read. */
export type LogReadResult =
  | {
      readonly kind: 'records';
      readonly era: Era;
      readonly first: number;
      /** Offset that the next append will get. */
      readonly next: number;
      readonly records: readonly LogRecord<unknown>[];
    }
  | {
      readonly kind: 'expired';
      readonly era: Era;
      readonly first: number;
      readonly next: number;
    }
  | {readonly kind: 'unreachable'};

/** The result of an append. */
export type AppendResult =
  | {
      readonly kind: 'confirmed';
      readonly era: Era;
      readonly offset: number;
    }
  /** The log refused it, or was never reached. */
  | {readonly kind: 'not-appended'}
  /** It may have taken effect. */
  | {readonly kind: 'unknown'};

/** A holder record with its fencing token, as peers exchange it. */
export interface HolderEntry extends HolderRecord {
  readonly fence: Fence;
}

/** A request to another node over the peer connection. */
export type PeerRequest =
  | {
      readonly kind: 'records';
      readonly version: number;
      /** Undefined if the requester has folded no records yet. */
      readonly era: Era | undefined;
      readonly holders: StreamPosition;
    }
  | {
      readonly kind: 'snapshot-chunk';
      readonly writer: string;
      readonly index: number;
    }
  | {readonly kind: 'members'}
  | {
      readonly kind: 'reports';
      readonly service: string;
      readonly reports: readonly GuardReport[];
    };

/** The reply to a peer request. */
export type PeerReply =
  | {
      readonly kind: 'records';
      readonly version: number;
      readonly era: Era | undefined;
      readonly records: readonly LogRecord<unknown>[];
      readonly holders: readonly HolderEntry[];
      readonly holdersPosition: StreamPosition;
      /** First chunk of the snapshot to use if the records were dropped. */
      readonly snapshot: SnapshotChunk | undefined;
    }
  | {readonly kind: 'snapshot-chunk'; readonly chunk: SnapshotChunk | undefined}
  | {readonly kind: 'members'; readonly members: readonly Member[]}
  | {readonly kind: 'reports'; readonly replies: readonly HolderReply[]}
  | {readonly kind: 'not-holder'}
  | {readonly kind: 'not-ready'};

/** A box in the platform's list, which may be out of date. */
export interface ListedBox {
  readonly box: string;
  readonly dataCentre: string;
  readonly state: 'live' | 'leaving';
  readonly peerAddress: string;
}

/** An input of the control plane. */
export type ControlEvent =
  | {readonly kind: 'tick'}
  | {readonly kind: 'datagram-received'; readonly datagram: Datagram}
  | {readonly kind: 'boxes-listed'; readonly boxes: readonly ListedBox[]}
  | {
      readonly kind: 'log-read';
      readonly stream: StreamName;
      readonly result: LogReadResult;
    }
  | {
      readonly kind: 'append-ended';
      readonly token: string;
      readonly result: AppendResult;
    }
  | {
      readonly kind: 'exchange-received';
      readonly token: string;
      readonly request: PeerRequest;
    }
  | {
      readonly kind: 'exchange-ended';
      readonly token: string;
      /** Undefined when the peer did not answer. */
      readonly reply: PeerReply | undefined;
    }
  | {readonly kind: 'change-submitted'; readonly change: ChangeRecord}
  | {
      readonly kind: 'guard-reported';
      readonly service: string;
      readonly reports: readonly GuardReport[];
    }
  | {readonly kind: 'watchers-counted'; readonly count: number}
  | {readonly kind: 'leaving'};

/** The final result of a submitted change. */
export type ChangeSettlement =
  | {readonly kind: 'outcome'; readonly outcome: ChangeOutcome}
  | {readonly kind: 'failure'; readonly failure: ApiFailure};

/** An action that the control plane requests. */
export type ControlAction =
  | {
      readonly kind: 'send';
      readonly address: string;
      readonly datagram: Datagram;
    }
  | {
      readonly kind: 'read-log';
      readonly stream: StreamName;
      readonly from: number;
      /** How long the log may wait for a new record before it answers. */
      readonly waitMilliseconds: number;
    }
  | {
      readonly kind: 'append';
      readonly token: string;
      readonly stream: StreamName;
      readonly value: unknown;
    }
  | {
      readonly kind: 'exchange';
      readonly token: string;
      readonly address: string;
      readonly request: PeerRequest;
    }
  | {
      readonly kind: 'reply';
      readonly token: string;
      readonly reply: PeerReply;
    }
  | {readonly kind: 'folded'; readonly folds: readonly FoldResult[]}
  /** The whole state was replaced; watches cannot resume across this. */
  | {readonly kind: 'state-replaced'}
  | {
      readonly kind: 'change-settled';
      readonly changeId: string;
      readonly settlement: ChangeSettlement;
    }
  | {
      readonly kind: 'holder-replied';
      readonly service: string;
      readonly reply: HolderReply;
    }
  | {
      readonly kind: 'fence-learnt';
      readonly service: string;
      readonly fence: Fence;
    }
  | {readonly kind: 'holders-read'}
  | {
      readonly kind: 'member-changed';
      readonly member: Member;
      readonly before: Member | undefined;
    }
  | {
      readonly kind: 'in-force';
      readonly box: string;
      readonly version: number;
    }
  | {readonly kind: 'ready'}
  | {
      readonly kind: 'timeline';
      readonly event: string;
      readonly subject: string;
      readonly detail: Readonly<Record<string, string | number | boolean>>;
    };
