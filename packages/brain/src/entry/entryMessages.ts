// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Events that the entry processes and actions that it returns. */

import type {ServiceView} from '@lockpin/configuration';
import type {OnceKey} from '@lockpin/once';
import type {CapacityRow, LoadHint} from '@lockpin/routing';
import type {KnownNotice, Refusal, Resource} from '@lockpin/types';
import type {PlannedStop} from '../plannedStop.js';

/** A call as it arrives at the entry. */
export interface EntryCall {
  readonly id: string;
  readonly view: ServiceView;
  readonly route: Resource<'Route'>;
  /** The calling customer; it need not own the service. */
  readonly customer: string;
  /** 0 is the most urgent; that of the route when absent. */
  readonly priority?: number;
  /** Equal for requests that look the same to an upstream; empty if unknown. */
  readonly requestDigest: string;
  /** Bytes of request body that the entry buffers. */
  readonly bytes: number;
  /** In milliseconds since 1970. */
  readonly deadline: number;
  /** Set exactly on once-only calls. */
  readonly onceKey: OnceKey | undefined;
  /** The caller states that it never sent a call with this key before. */
  readonly isFirstWithKey: boolean;
  /** The whole body is held; otherwise it is streamed, once. */
  readonly isReplayable: boolean;
  /** The caller, itself called through lockpin, is handling a retry. */
  readonly isCallersRetry: boolean;
  /**
   * The upstream on this box is processing a repeat and may be the caller. This
   * call may then be a repeat as well, and counts as one in the retry budget.
   */
  readonly mayBeRepeat?: boolean;
  /**
   * A call that runs on this box makes it and holds a slot meanwhile. It is
   * never held here without a place in a queue.
   */
  readonly isNested?: boolean;
}

/** Whether a guard may queue a call, or run it on a doubted upstream. */
export type OfferTerms =
  /** Only in a free slot of an upstream that accepts ordinary work. */
  | 'immediate'
  /** Also after waiting in the queue. */
  | 'may-wait'
  /** Also when the answer will be late; calls that can be in time go first. */
  | 'may-be-late'
  /** On a doubted upstream that has had no call for a while; else refused. */
  | 'trial'
  /** Whatever the state of the upstream, because no other is left. */
  | 'last-resort';

/** An event of a call. */
export type EntryEvent =
  | {readonly kind: 'call-arrived'; readonly call: EntryCall}
  /** The node stops: calls that can't end before it does are refused. */
  | {readonly kind: 'stopping'; readonly stop: PlannedStop}
  | {
      readonly kind: 'attempt-answered';
      readonly callId: string;
      readonly status: number;
      /** The answer is buffered completely; false when it is being streamed. */
      readonly isWhole: boolean;
      readonly hint: LoadHint | undefined;
      /** What the guard's box knows of other upstreams of the service. */
      readonly others?: readonly CapacityRow[] | undefined;
      /** Run time at the upstream; undefined when not reported. */
      readonly ranMilliseconds: number | undefined;
    }
  | {
      readonly kind: 'attempt-refused';
      readonly callId: string;
      readonly refusal: Refusal;
      readonly upstream: string;
      readonly hint: LoadHint | undefined;
      readonly others?: readonly CapacityRow[] | undefined;
    }
  | {
      readonly kind: 'attempt-lost';
      readonly callId: string;
      /** False only when the guard cannot have received it. */
      readonly wasSent: boolean;
    }
  /** The first part of a streamed body was given to the guard. */
  | {readonly kind: 'body-begun'; readonly callId: string}
  /** The pause after a round of refused offers has ended. */
  | {readonly kind: 'pause-ended'; readonly callId: string}
  /** The guard neither started nor queued the call within the time allowed. */
  | {readonly kind: 'attempt-unacknowledged'; readonly callId: string}
  /** The attempt exceeded its overdue limit. */
  | {readonly kind: 'attempt-overdue'; readonly callId: string}
  /** The overdue attempt was answered. */
  | {
      readonly kind: 'overdue-answered';
      readonly callId: string;
      readonly status: number;
      readonly hint: LoadHint | undefined;
      readonly others?: readonly CapacityRow[] | undefined;
      readonly ranMilliseconds: number | undefined;
    }
  /** The overdue attempt ended without an answer. */
  | {readonly kind: 'overdue-ended'; readonly callId: string}
  | {
      readonly kind: 'call-aborted';
      readonly callId: string;
      /** 'body-too-large': a streamed body, of which a part may have gone out. */
      readonly reason:
        | 'body-too-large'
        | 'deadline-passed'
        | 'node-leaving'
        | 'request-quarantined';
      /** False only when the current attempt cannot have started to run. */
      readonly wasSent: boolean;
    }
  | {readonly kind: 'caller-left'; readonly callId: string}
  /** The answer was passed to the caller completely, or broke off. */
  | {readonly kind: 'answer-ended'; readonly callId: string};

/** An attempt to be made. */
export interface Attempt {
  readonly callId: string;
  readonly call: EntryCall;
  /** Undefined when the home box of the once key chooses. */
  readonly upstream: string | undefined;
  readonly box: string;
  /** 1 for the first; paid retries and a caller's own retry raise it. */
  readonly number: number;
  readonly terms: OfferTerms;
  /** Typical duration of the route's calls; undefined when not known. */
  readonly expectedMilliseconds: number | undefined;
  /**
   * Time after which the attempt counts as overdue; undefined when it could not
   * be sent elsewhere.
   */
  readonly overdueMilliseconds: number | undefined;
  /**
   * A call that has not run anywhere is refused unless it has a slot by then,
   * in milliseconds since 1970; undefined when only its deadline limits the
   * wait.
   */
  readonly startBy: number | undefined;
  /** Time in which the guard has to acknowledge the call. */
  readonly acknowledgementTimeoutMilliseconds: number;
  /** The latest notice of the upstream that reached this entry, if any. */
  readonly knownNotice: KnownNotice | undefined;
}

/** An action that the entry requests. */
export type EntryAction =
  | {readonly kind: 'attempt'; readonly attempt: Attempt}
  | {
      readonly kind: 'refuse';
      readonly callId: string;
      readonly refusal: Refusal;
    }
  | {readonly kind: 'pass-answer'; readonly callId: string}
  /** Pass the failed answer of an earlier attempt: later ones had none. */
  | {readonly kind: 'pass-fallback-answer'; readonly callId: string}
  /** Report 'pause-ended' after this time. */
  | {
      readonly kind: 'pause';
      readonly callId: string;
      readonly milliseconds: number;
    }
  | {readonly kind: 'cancel-attempt'; readonly callId: string}
  /** Keep the current attempt running beside the next one. */
  | {readonly kind: 'keep-overdue'; readonly callId: string}
  | {readonly kind: 'pass-overdue-answer'; readonly callId: string}
  | {readonly kind: 'cancel-overdue'; readonly callId: string};

/** The state of the boxes as far as the entry needs it. */
export interface BoxAvailability {
  /** Whether the lockpin process of a box is believed to be alive. */
  readonly isUsable: (box: string) => boolean;
  /** Incarnation of the current process of a box; undefined when unknown. */
  readonly incarnation: (box: string) => string | undefined;
}
