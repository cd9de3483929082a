// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What an entry is told about its calls, and what it decides. */

import type {ServiceView} from '@lockpin/configuration';
import type {OnceKey} from '@lockpin/once';
import type {LoadHint} from '@lockpin/routing';
import type {Refusal, Resource} from '@lockpin/types';

/** A call as it reaches the entry. */
export interface EntryCall {
  readonly id: string;
  readonly view: ServiceView;
  readonly route: Resource<'Route'>;
  /** The customer that calls; it need not own the service. */
  readonly customer: string;
  /** The same for all requests that an upstream cannot tell apart; empty if unknown. */
  readonly requestDigest: string;
  /** Bytes of body that the entry holds for it. */
  readonly bytes: number;
  /** In milliseconds since 1970. */
  readonly deadline: number;
  /** Present exactly on once-only calls. */
  readonly onceKey: OnceKey | undefined;
  /** The caller says that no call with this key was ever sent before. */
  readonly isFirstWithKey: boolean;
  /** The body is still at hand, so that the call can be sent again. */
  readonly isReplayable: boolean;
  /** The caller, itself behind lockpin, is already repeating a call. */
  readonly isCallersRetry: boolean;
  /**
   * The upstream on this box is working on a repeat, and may be the caller: then
   * this call is made a second time too, and its service counts it as a repeat.
   */
  readonly mayBeRepeat?: boolean;
}

/** Whether a guard may let a call wait, or run it on a doubted upstream. */
export type OfferTerms =
  /** Only with a free slot of an upstream in good standing. */
  | 'immediate'
  /** Also after waiting. */
  | 'may-wait'
  /** Also when its answer will be late: behind all that can be in time. */
  | 'may-be-late'
  /** Whatever the upstream's standing: nothing better is left. */
  | 'last-resort';

/** What happens to a call. */
export type EntryEvent =
  | {readonly kind: 'call-arrived'; readonly call: EntryCall}
  | {
      readonly kind: 'attempt-answered';
      readonly callId: string;
      readonly status: number;
      /** The answer is whole and at hand; false when it is already flowing. */
      readonly isWhole: boolean;
      readonly hint: LoadHint | undefined;
      /** How long the upstream took; undefined when the guard did not say. */
      readonly ranMilliseconds: number | undefined;
    }
  | {
      readonly kind: 'attempt-refused';
      readonly callId: string;
      readonly refusal: Refusal;
      readonly upstream: string;
      readonly hint: LoadHint | undefined;
    }
  | {
      readonly kind: 'attempt-lost';
      readonly callId: string;
      /** False only when the guard cannot have received it. */
      readonly wasSent: boolean;
    }
  /** The pause after a round of offers in vain is over. */
  | {readonly kind: 'pause-ended'; readonly callId: string}
  /** The guard neither started the call nor let it wait within its time. */
  | {readonly kind: 'attempt-silent'; readonly callId: string}
  /** The attempt takes far longer than such calls usually do. */
  | {readonly kind: 'attempt-overdue'; readonly callId: string}
  /** The attempt that was overdue was answered after all. */
  | {
      readonly kind: 'overdue-answered';
      readonly callId: string;
      readonly status: number;
      readonly hint: LoadHint | undefined;
      readonly ranMilliseconds: number | undefined;
    }
  /** The attempt that was overdue ended without an answer. */
  | {readonly kind: 'overdue-ended'; readonly callId: string}
  | {
      readonly kind: 'given-up';
      readonly callId: string;
      /** Its time is over, its node ends before that, or no upstream may run it. */
      readonly reason:
        'deadline-passed' | 'node-leaving' | 'request-quarantined';
      /** False when the attempt under way certainly did not begin to run. */
      readonly wasSent: boolean;
    }
  | {readonly kind: 'caller-left'; readonly callId: string}
  /** The answer went to the caller to its end, or broke on the way. */
  | {readonly kind: 'answer-ended'; readonly callId: string};

/** One attempt to be made. */
export interface Attempt {
  readonly callId: string;
  readonly call: EntryCall;
  /** Undefined when the once key's home chooses. */
  readonly upstream: string | undefined;
  readonly box: string;
  /** 1 for the first; raised only by attempts that the retry budget paid. */
  readonly number: number;
  readonly terms: OfferTerms;
  /** How long such calls usually take; undefined when not known. */
  readonly expectedMilliseconds: number | undefined;
  /**
   * Time after which the attempt counts as overdue; undefined when nothing
   * could be done about it.
   */
  readonly overdueMilliseconds: number | undefined;
  /**
   * A call that has run nowhere yet is to have a slot by then or to come back,
   * in milliseconds since 1970; undefined when it may wait as long as it likes.
   */
  readonly startBy: number | undefined;
  /** Time in which the guard has to say that it has the call. */
  readonly silenceMilliseconds: number;
}

/** What an entry wants done. */
export type EntryAction =
  | {readonly kind: 'attempt'; readonly attempt: Attempt}
  | {
      readonly kind: 'refuse';
      readonly callId: string;
      readonly refusal: Refusal;
    }
  | {readonly kind: 'pass-answer'; readonly callId: string}
  /** The answer of an earlier attempt, since a later one brought none. */
  | {readonly kind: 'pass-spare-answer'; readonly callId: string}
  /** Tell the brain when this time is over. */
  | {
      readonly kind: 'pause';
      readonly callId: string;
      readonly milliseconds: number;
    }
  | {readonly kind: 'cancel-attempt'; readonly callId: string}
  /** Let the attempt under way go on beside the next one. */
  | {readonly kind: 'keep-overdue'; readonly callId: string}
  | {readonly kind: 'pass-overdue-answer'; readonly callId: string}
  | {readonly kind: 'cancel-overdue'; readonly callId: string};

/** What the entry needs to know of the boxes. */
export interface BoxKnowledge {
  /** Whether a box's lockpin process is believed to be there. */
  readonly isUsable: (box: string) => boolean;
  /** The process now on a box; undefined when none is known. */
  readonly incarnation: (box: string) => string | undefined;
}
