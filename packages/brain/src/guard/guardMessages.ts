// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a guard is told, and what it decides. */

import {RetryBudget} from '@lockpin/routing';
import type {LoadHint, RetryAllowance} from '@lockpin/routing';
import type {StoredAnswer} from '@lockpin/once';
import type {Fence, GuardReport, HolderReply} from '@lockpin/floor';
import type {Presence} from '@lockpin/quarantine';
import type {DoubtReason} from './quickDoubt.js';
import type {
  Refusal,
  Repetition,
  Resource,
  Sensitivity,
  UpstreamIncarnation,
} from '@lockpin/types';

/** A call as it reaches the guard. */
export interface GuardCall {
  readonly id: string;
  readonly service: string;
  /** Undefined for a once-only call: its home chooses among its own. */
  readonly upstream: string | undefined;
  readonly customer: string;
  readonly weight: number;
  /** Name of the route, which is the kind of call. */
  readonly route: string;
  readonly repetition: Repetition;
  readonly priority: number;
  /** By the clock here, in milliseconds since 1970. */
  readonly deadline: number;
  /** 1 for the first attempt. */
  readonly attempt: number;
  readonly retryShare: number;
  /** A first attempt of a call that its caller may be making a second time. */
  readonly mayBeRepeat?: boolean;
  readonly onceKey: string | undefined;
  /**
   * The same for all requests that an upstream cannot tell apart; empty where it is not
   * known, as that of a call which waits for its go.
   */
  readonly requestDigest: string;
  /** By the clock here: an answer later than this is worth less. */
  readonly usefulUntil?: number;
  /** By the clock here: its entry wants it back unless it has a slot by then. */
  readonly startBy?: number;
  /** The entry must say go before the call may run; see Attempt. */
  readonly needsGo?: boolean;
  /** False when the entry would rather go elsewhere than wait here. */
  readonly mayWait?: boolean;
  /** The entry has nothing better: even a doubted upstream will do. */
  readonly mayRunDoubted?: boolean;
  /** How long such calls usually take, by all the entry has seen. */
  readonly expectedMilliseconds?: number;
}

/** How the guard treats calls; what is given up on is set by the owner. */
export interface GuardSettings {
  /** Whether a few bad calls in a row keep ordinary work away for a moment. */
  readonly hasQuickDoubt: boolean;
  /** Whether calls that have not ended are evidence for it. */
  readonly hasHangEvidence: boolean;
  /**
   * How many calls that began on this box are held up now. An upstream that made one
   * is late without any fault: each explains one late call, whoever made it.
   */
  readonly heldUpCalls: () => number;
  /** Whether little of that evidence keeps calls away that cannot be repeated. */
  readonly isCautious: boolean;
  /** Whether failures that a failed call of the same box explains are no evidence. */
  readonly excusesFailures: boolean;
  /** Whether calls that wait for an upstream go elsewhere when doubt begins. */
  readonly doubtReleasesQueue: boolean;
  /** Whether a suspect upstream announces a part of its slots only. */
  readonly limitsSuspects: boolean;
  /** Makes the budget that pays for the retries of a service's calls here. */
  readonly createRetryBudget: (service: string) => RetryAllowance;
  /**
   * Whether calls that wait still run on an upstream that begins to drain;
   * false where its owner was promised that nothing more would come.
   */
  readonly drainFinishesQueue: boolean;
  /** How much longer no upstream is to run a request, in milliseconds; 0 if one may. */
  readonly quarantinedFor: (now: number, requestDigest: string) => number;
  /** A slot kept for an entry that does not say go is given back after this. */
  readonly reservationMilliseconds: number;
}

/** Reservations end well after the slowest round trip between data centres. */
export const DEFAULT_GUARD_SETTINGS: GuardSettings = {
  hasQuickDoubt: false,
  hasHangEvidence: true,
  heldUpCalls: () => 0,
  isCautious: true,
  excusesFailures: true,
  doubtReleasesQueue: true,
  limitsSuspects: true,
  createRetryBudget: () => new RetryBudget(),
  drainFinishesQueue: true,
  quarantinedFor: () => 0,
  reservationMilliseconds: 250,
};

/** A service that has upstreams on this box. */
export interface GuardedService {
  readonly name: string;
  readonly sensitivity: Sensitivity;
  /** Only those on this box. */
  readonly upstreams: readonly Resource<'Upstream'>[];
}

/** What happens to a guard. */
export type GuardEvent =
  | {readonly kind: 'call-offered'; readonly call: GuardCall}
  /** The entry holds the reservation to be good: the call may run. */
  | {
      readonly kind: 'call-go';
      readonly callId: string;
      readonly requestDigest: string;
    }
  | {readonly kind: 'call-cancelled'; readonly callId: string}
  | {readonly kind: 'call-deadline-passed'; readonly callId: string}
  /** A call that began on this box failed: its upstream may have made it. */
  | {readonly kind: 'own-call-failed'}
  | {
      readonly kind: 'upstream-answered';
      readonly callId: string;
      readonly status: number;
      /** The upstream said that it has too much to do. */
      readonly isShed: boolean;
      /** The whole answer when it is small enough to be kept. */
      readonly answer: StoredAnswer | undefined;
    }
  | {
      readonly kind: 'upstream-failed';
      readonly callId: string;
      /** False only when not a byte of the call reached the upstream. */
      readonly wasSent: boolean;
    }
  /** What was found at the address of an upstream that broke calls. */
  | {
      readonly kind: 'upstream-looked-at';
      readonly upstream: string;
      /** Of the process that broke them. */
      readonly incarnation: UpstreamIncarnation | undefined;
      readonly presence: Presence;
    }
  /** The upstream itself said that it did not run the call. */
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
  /** From here on the clock counts time that may not have passed. */
  | {readonly kind: 'clock-gained'; readonly milliseconds: number}
  | {readonly kind: 'tick'};

/** What a guard wants done. */
export type GuardAction =
  | {readonly kind: 'run'; readonly callId: string; readonly upstream: string}
  /** There is a slot, kept until the entry says go. */
  | {readonly kind: 'reserve'; readonly callId: string}
  /** The call waits for a slot. */
  | {readonly kind: 'queue'; readonly callId: string}
  | {
      readonly kind: 'refuse';
      readonly callId: string;
      readonly refusal: Refusal;
      readonly upstream: string;
      readonly hint: LoadHint | undefined;
      /** Set only for refusals as 'upstream-doubted'; used in logs and metrics. */
      readonly doubtReason: DoubtReason | undefined;
    }
  | {
      readonly kind: 'answer-stored';
      readonly callId: string;
      readonly answer: StoredAnswer;
    }
  /** Breaks off the exchange with the upstream; its connection is closed. */
  | {readonly kind: 'abort'; readonly callId: string}
  | {
      readonly kind: 'report';
      readonly service: string;
      readonly reports: readonly GuardReport[];
    }
  /** Is there still anybody at the address of the upstream? */
  | {
      readonly kind: 'look-at-upstream';
      readonly upstream: string;
      readonly incarnation: UpstreamIncarnation | undefined;
    }
  /** The upstream ended while it ran requests with these digests. */
  | {
      readonly kind: 'upstream-crashed';
      readonly upstream: string;
      readonly digests: readonly string[];
    }
  /** Entries should know at once how the upstream stands. */
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
