// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What goes between an entry and a guard: the parts of one exchange, and news. */

import type {OfferTerms} from '@lockpin/brain';
import type {FleetNews} from '@lockpin/fleet';
import type {LimitMessage} from '@lockpin/limits';
import type {LoadHint} from '@lockpin/routing';
import type {Refusal, Repetition} from '@lockpin/types';

/** Names and values in turn, as they came. */
export type FlatHeaders = readonly string[];

/** The first frame from an entry. */
export interface CallHead {
  /** Names the caller's request in the logs of every box. */
  readonly requestId: string;
  readonly service: string;
  readonly upstream: string | undefined;
  readonly customer: string;
  readonly weight: number;
  readonly route: string;
  readonly repetition: Repetition;
  readonly priority: number;
  /** Milliseconds left until the deadline. */
  readonly remaining: number;
  readonly attempt: number;
  readonly retryShare: number;
  /** A first attempt of a call that its caller may be making a second time. */
  readonly mayBeRepeat: boolean;
  readonly onceKey: string | undefined;
  /** See digestOf; empty in an offer, but for that of a once-only call. */
  readonly requestDigest: string;
  readonly method: string;
  readonly path: string;
  readonly headers: FlatHeaders;
  /** The whole body, unless hasMore says that it follows in frames. */
  readonly body: Uint8Array | undefined;
  readonly hasMore: boolean;
  /** The guard keeps a slot and waits for a go before it sends the call on. */
  readonly needsGo: boolean;
  readonly terms: OfferTerms;
  /** Milliseconds until an answer is worth less; undefined when it never is. */
  readonly usefulFor: number | undefined;
  /** Milliseconds in which it must get a slot or come back; undefined for any. */
  readonly startWithin: number | undefined;
  readonly expectedMilliseconds: number | undefined;
}

/** The part of a call that only its upstream needs. */
export interface CallRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: FlatHeaders;
  readonly body: Uint8Array | undefined;
  /** See digestOf. */
  readonly requestDigest: string;
}

/** The first frame of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: FlatHeaders;
  readonly upstream: string;
  readonly hint: LoadHint | undefined;
  /**
   * Only the end of the connection said that the answer was over. The caller
   * gets it in the same form, since no one here can tell whether it is whole.
   */
  readonly isUnframed: boolean;
  /** How long the upstream took until its answer was at hand. */
  readonly ranMilliseconds: number | undefined;
  /** The whole body, unless hasMore says that it follows in frames. */
  readonly body: Uint8Array | undefined;
  readonly hasMore: boolean;
}

/** A refusal as a guard sends it. */
export interface RefusalFrame {
  readonly refusal: Refusal;
  readonly upstream: string;
  readonly hint: LoadHint | undefined;
}

/** What nodes tell each other unasked. */
export type PeerNews =
  /** The version of the configuration in force at the sender. */
  | {
      readonly kind: 'version';
      readonly version: number;
      /** Where the sender can be asked for it. */
      readonly address: string;
    }
  /** The standing of an upstream changed at its guard. */
  | {
      readonly kind: 'standing';
      readonly upstream: string;
      readonly hint: LoadHint;
    }
  /** The sender wants to hear what the other end reads, or no longer does. */
  | {readonly kind: 'follow'; readonly isWanted: boolean}
  /** For those that follow the sender. */
  | FleetNews
  /** An entry lends or draws, and a pool answers it on the same stream. */
  | LimitMessage;

/** One frame, read. */
export type Frame =
  | {readonly kind: 'call'; readonly head: CallHead}
  | {readonly kind: 'answer'; readonly head: AnswerHead}
  | {readonly kind: 'chunk'; readonly bytes: Buffer}
  | {readonly kind: 'end'}
  | {readonly kind: 'refusal'; readonly refusal: RefusalFrame}
  /** The guard has a slot: the go, or the rest of the body, may follow. */
  | {readonly kind: 'continue'}
  /** The call waits for a slot. */
  | {readonly kind: 'queued'}
  /** The entry takes the slot: the call may run, and this is its request. */
  | {readonly kind: 'go'; readonly request: CallRequest}
  /** Belongs to no call. */
  | {readonly kind: 'news'; readonly news: PeerNews}
  /** The entry has no more use for the exchange. */
  | {readonly kind: 'cancel'}
  /** The upstream broke off its answer. */
  | {readonly kind: 'lost'}
  /** The caller has taken so many bytes of the answer. */
  | {readonly kind: 'credit'; readonly bytes: number};
