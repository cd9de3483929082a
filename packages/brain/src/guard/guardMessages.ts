// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Events that a guard handles and the actions it returns. */

import type {LoadHint} from '@lockpin/routing';
import type {StoredAnswer} from '@lockpin/once';
import type {Fence, GuardReport, HolderReply} from '@lockpin/floor';
import type {AddressState} from '@lockpin/quarantine';
import type {PlannedStop} from '../plannedStop.js';
import type {NestedCallResult} from './callTree.js';
import type {GuardCall} from './guardCall.js';
import type {NestedShortage} from './nestedCapacity.js';
import type {DoubtReason} from './quickDoubt.js';
import type {
  Refusal,
  Resource,
  Sensitivity,
  UpstreamIncarnation,
  UpstreamNotice,
} from '@lockpin/types';

/** A service with upstreams on this box. */
export interface GuardedService {
  readonly name: string;
  readonly sensitivity: Sensitivity;
  /** Only the upstreams on this box. */
  readonly upstreams: readonly Resource<'Upstream'>[];
}

/** An event for the guard. */
export type GuardEvent =
  | {readonly kind: 'call-offered'; readonly call: GuardCall}
  /** The entry confirmed the reservation: the call may run. */
  | {
      readonly kind: 'call-go';
      readonly callId: string;
      readonly requestDigest: string;
    }
  | {readonly kind: 'call-cancelled'; readonly callId: string}
  | {readonly kind: 'call-deadline-passed'; readonly callId: string}
  /** A running call makes a nested call. */
  | {
      readonly kind: 'nested-call-began';
      readonly parentRequestId: string;
      readonly service: string;
    }
  /** A nested call that began on this box has ended. */
  | ({readonly kind: 'nested-call-ended'} & NestedCallResult)
  /** A call from this box failed; a local upstream may have made it. */
  | {readonly kind: 'own-call-failed'}
  | {
      readonly kind: 'upstream-answered';
      readonly callId: string;
      readonly status: number;
      /** The upstream reported overload. */
      readonly isShed: boolean;
      /** The complete answer if it is small enough to be stored. */
      readonly answer: StoredAnswer | undefined;
    }
  /** The head of an answer arrived, before its body. */
  | {
      readonly kind: 'upstream-stated';
      readonly callId: string;
      readonly notice: UpstreamNotice;
    }
  | {
      readonly kind: 'upstream-failed';
      readonly callId: string;
      /** False only if no byte of the call reached the upstream. */
      readonly wasSent: boolean;
    }
  /** Result of the connection check on an upstream that broke calls. */
  | {
      readonly kind: 'upstream-checked';
      readonly upstream: string;
      /** The process that broke the calls. */
      readonly incarnation: UpstreamIncarnation | undefined;
      readonly addressState: AddressState;
    }
  /** The upstream itself refused the call without running it. */
  | {
      readonly kind: 'upstream-refused';
      readonly callId: string;
      readonly reason: 'upstream-refused' | 'upstream-replaced';
    }
  | {
      readonly kind: 'services-changed';
      readonly services: readonly GuardedService[];
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
  /** The node stops; calls that can't end before it does don't start any more. */
  | {readonly kind: 'leaving'; readonly stop?: PlannedStop}
  /** The clock jumped ahead, by time that may not have passed. */
  | {readonly kind: 'clock-gained'; readonly milliseconds: number}
  | {readonly kind: 'tick'};

/** A limit that an upstream states. */
export interface LimitInForce {
  readonly requestsPerSecond: number;
  /** Milliseconds since it was last stated. */
  readonly age: number;
}

/** What limits the calls to an upstream, for logs and metrics. */
export interface GuardLimits {
  readonly concurrencyLimit: number;
  /** Calls that hold a slot. */
  readonly running: number;
  /**
   * Milliseconds since rejections lowered the limit; undefined while it is not
   * lowered.
   */
  readonly concurrencyLimitAge: number | undefined;
  /** Undefined without a limit of retries. */
  readonly retriesLeft: number | undefined;
}

/** An action that the guard requests. */
export type GuardAction =
  | {readonly kind: 'run'; readonly callId: string; readonly upstream: string}
  /** A slot is reserved until the entry's go. */
  | {readonly kind: 'reserve'; readonly callId: string}
  /** The call waits for a slot. */
  | {readonly kind: 'queue'; readonly callId: string}
  | {
      readonly kind: 'refuse';
      readonly callId: string;
      readonly refusal: Refusal;
      readonly upstream: string;
      readonly hint: LoadHint | undefined;
      /** Set only for 'upstream-doubted' refusals; used in logs and metrics. */
      readonly doubtReason: DoubtReason | undefined;
      /** Set only for 'upstream-over-limit' refusals; used in logs. */
      readonly limit: LimitInForce | undefined;
      /** Set for offers refused as 'nested-busy'; used in logs. */
      readonly shortage?: NestedShortage;
    }
  | {
      readonly kind: 'answer-stored';
      readonly callId: string;
      readonly answer: StoredAnswer;
    }
  /** Aborts the exchange with the upstream and closes its connection. */
  | {readonly kind: 'abort'; readonly callId: string}
  | {
      readonly kind: 'report';
      readonly service: string;
      readonly reports: readonly GuardReport[];
    }
  /** Check whether anything listens at the upstream's address. */
  | {
      readonly kind: 'check-upstream';
      readonly upstream: string;
      readonly incarnation: UpstreamIncarnation | undefined;
    }
  /** The upstream crashed while it ran requests with these digests. */
  | {
      readonly kind: 'upstream-crashed';
      readonly upstream: string;
      readonly digests: readonly string[];
    }
  /** The process states that it is leaving and takes no further calls. */
  | {
      readonly kind: 'upstream-leaving';
      readonly upstream: string;
      readonly incarnation: UpstreamIncarnation | undefined;
    }
  /** Tell entries at once about the state of the upstream. */
  | {
      readonly kind: 'standing';
      readonly upstream: string;
      readonly hint: LoadHint;
    }
  | {
      readonly kind: 'timeline';
      readonly event: string;
      readonly subject: string;
      readonly detail: Readonly<Record<string, string | number | boolean>>;
    };
