// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Events that a guard handles, the actions it returns, and its settings. */

import {AdaptiveLimit} from '@lockpin/admission';
import type {
  AdmissionOptions,
  CreateConcurrencyLimit,
} from '@lockpin/admission';
import {RetryBudget} from '@lockpin/routing';
import type {LoadHint, RetryAllowance} from '@lockpin/routing';
import type {StoredAnswer} from '@lockpin/once';
import type {Fence, GuardReport, HolderReply} from '@lockpin/floor';
import type {AddressState} from '@lockpin/quarantine';
import type {NestedCallResult} from './callTree.js';
import type {NestedShortage} from './nestedCapacity.js';
import type {DoubtReason} from './quickDoubt.js';
import type {
  KnownNotice,
  Refusal,
  Repetition,
  Resource,
  Sensitivity,
  UpstreamIncarnation,
  UpstreamNotice,
} from '@lockpin/types';

/** A call as offered to the guard. */
export interface GuardCall {
  readonly id: string;
  /** Id of the caller's request, by which nested calls name it. */
  readonly requestId?: string;
  readonly service: string;
  /** Undefined for a once-only call, whose home chooses a local upstream. */
  readonly upstream: string | undefined;
  readonly customer: string;
  readonly weight: number;
  /** Name of the route, which identifies the kind of call. */
  readonly route: string;
  readonly repetition: Repetition;
  readonly priority: number;
  /** By the local clock, in milliseconds since 1970. */
  readonly deadline: number;
  /** 1 for the first attempt. */
  readonly attempt: number;
  readonly retryShare: number;
  /** A first attempt at a call that may be the caller's own repeat. */
  readonly mayBeRepeat?: boolean;
  readonly onceKey: string | undefined;
  /**
   * Equal for all requests that an upstream cannot distinguish. Empty if
   * unknown, as for a call that waits for its go.
   */
  readonly requestDigest: string;
  /** By the local clock: a later answer is of less use to the caller. */
  readonly usefulUntil?: number;
  /** By the local clock: a call without a slot by then returns to its entry. */
  readonly startBy?: number;
  /** The call may only run after the entry's go; see Attempt. */
  readonly needsGo?: boolean;
  /** False if the entry prefers another upstream to waiting here. */
  readonly mayWait?: boolean;
  /** The entry has no better upstream, and accepts a doubted one. */
  readonly mayRunDoubted?: boolean;
  /** Usual duration of such calls, as observed by the entry. */
  readonly expectedMilliseconds?: number;
  /** The latest notice of the upstream that reached the entry, if any. */
  readonly knownNotice?: KnownNotice;
  /** A running call made it; its customer and priority are those of the root. */
  readonly isNested?: boolean;
}

/** Settings of the guard; the owner can switch single features off. */
export interface GuardSettings {
  /** Whether a few bad calls in a row divert ordinary calls for a moment. */
  readonly hasQuickDoubt: boolean;
  /** Whether unanswered calls are evidence for such doubt. */
  readonly hasHangEvidence: boolean;
  /**
   * Number of calls from this box that are delayed elsewhere. An upstream that
   * waits for one is late through no fault of its own; each explains one late
   * call, whichever upstream made it.
   */
  readonly heldUpCalls: () => number;
  /**
   * Whether most upstreams of a service reject calls at present. Rejections are
   * then no evidence against a single upstream: diverting calls from all of
   * them would leave only upstreams that fail in other ways.
   */
  readonly areRejectionsCommon: (now: number, service: string) => boolean;
  /** Whether weak evidence of a hang diverts calls that cannot be repeated. */
  readonly isCautious: boolean;
  /** Whether failures that a failed call from this box explains are ignored. */
  readonly excusesFailures: boolean;
  /** Whether calls waiting for an upstream are refused when doubt begins. */
  readonly doubtReleasesQueue: boolean;
  /** Whether a suspect upstream announces a reduced limit. */
  readonly limitsSuspects: boolean;
  /** Creates the limit of concurrent calls to an upstream. */
  readonly createLimit: CreateConcurrencyLimit;
  /** Whether load hints tell the wait for a slot and the retries left. */
  readonly announcesCapacity: boolean;
  /** Creates the retry budget of a service on this box. */
  readonly createRetryBudget: (service: string) => RetryAllowance;
  /**
   * Whether waiting calls still run on an upstream that begins to drain; false
   * if its owner relies on receiving no further calls.
   */
  readonly drainFinishesQueue: boolean;
  /** Remaining quarantine of a request in milliseconds; 0 if it may run. */
  readonly quarantinedFor: (now: number, requestDigest: string) => number;
  /** A reserved slot is released after this time without the entry's go. */
  readonly reservationMilliseconds: number;
  /** Whether nested calls are recognised by the ids of their parents. */
  readonly tracksNestedCalls: boolean;
  /**
   * Whether calls are refused while services that they are likely to call have
   * no capacity for them.
   */
  readonly refusesBusyParents: boolean;
  readonly admission: AdmissionOptions;
}

/** Reservations outlast the slowest round trip between data centres. */
export const DEFAULT_GUARD_SETTINGS: GuardSettings = {
  hasQuickDoubt: false,
  hasHangEvidence: true,
  heldUpCalls: () => 0,
  areRejectionsCommon: () => false,
  isCautious: true,
  excusesFailures: true,
  doubtReleasesQueue: true,
  limitsSuspects: true,
  createLimit: (slots, isCold) => new AdaptiveLimit(slots, isCold),
  announcesCapacity: false,
  createRetryBudget: () => new RetryBudget(),
  drainFinishesQueue: true,
  quarantinedFor: () => 0,
  reservationMilliseconds: 250,
  tracksNestedCalls: false,
  refusesBusyParents: false,
  admission: {},
};

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
  | {readonly kind: 'leaving'}
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
