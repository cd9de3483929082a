// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Frames between an entry and a guard: the parts of an exchange, and news. */

import type {OfferTerms} from '@lockpin/brain';
import type {FleetUpdate} from '@lockpin/fleet';
import type {LimitMessage} from '@lockpin/limits';
import type {CapacityRow, LoadHint} from '@lockpin/routing';
import type {KnownNotice, Refusal, Repetition} from '@lockpin/types';

/** Header names and values in turn, as received. */
export type FlatHeaders = readonly string[];

/** The head of a call: the first frame of an exchange. */
export interface CallHead {
  /** Identifies the caller's request in the logs of all boxes. */
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
  /** A first attempt of a call that may itself be its caller's retry. */
  readonly mayBeRepeat: boolean;
  readonly onceKey: string | undefined;
  /** See computeRequestDigest; empty in offers, except of once-only calls. */
  readonly requestDigest: string;
  readonly method: string;
  readonly path: string;
  readonly headers: FlatHeaders;
  /** The whole body, unless hasMore says that it follows in frames. */
  readonly body: Uint8Array | undefined;
  readonly hasMore: boolean;
  /** The guard reserves a slot and waits for the go signal to run the call. */
  readonly needsGo: boolean;
  readonly terms: OfferTerms;
  /** Milliseconds until the latency goal; undefined without one. */
  readonly usefulFor: number | undefined;
  /** Milliseconds in which a slot must be reserved; undefined for no limit. */
  readonly startWithin: number | undefined;
  readonly expectedMilliseconds: number | undefined;
  /** The latest notice of the upstream that reached the entry, if any. */
  readonly knownNotice: KnownNotice | undefined;
  /** See GuardCall; false when the sender does not know nested calls. */
  readonly isNested: boolean;
}

/** The part of a call that only its upstream needs. */
export interface CallRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: FlatHeaders;
  readonly body: Uint8Array | undefined;
  /** See computeRequestDigest. */
  readonly requestDigest: string;
}

/** The first frame of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: FlatHeaders;
  readonly upstream: string;
  readonly hint: LoadHint | undefined;
  /** How long the upstream took to answer. */
  readonly ranMilliseconds: number | undefined;
  /** The whole body, unless hasMore says that it follows in frames. */
  readonly body: Uint8Array | undefined;
  readonly hasMore: boolean;
  /** What the guard's box knows of other upstreams of the service. */
  readonly others?: readonly CapacityRow[] | undefined;
}

/** A refusal as a guard sends it. */
export interface RefusalFrame {
  readonly refusal: Refusal;
  readonly upstream: string;
  readonly hint: LoadHint | undefined;
  /** What the guard's box knows of other upstreams of the service. */
  readonly others?: readonly CapacityRow[] | undefined;
}

/** Unsolicited messages between nodes. */
export type PeerNews =
  /** The version of the configuration in force at the sender. */
  | {
      readonly kind: 'version';
      readonly version: number;
      /** Where the sender serves it. */
      readonly address: string;
    }
  /** The standing of an upstream changed at its guard. */
  | {
      readonly kind: 'standing';
      readonly upstream: string;
      readonly hint: LoadHint;
    }
  /** The sender starts or stops following the other end. */
  | {readonly kind: 'follow'; readonly isWanted: boolean}
  /** Asks the other end for its version, which it sends on the same stream. */
  | {
      readonly kind: 'version-request';
      /** Where other nodes reach the sender. */
      readonly address: string;
      /** The time of the clock that readers agree on, in milliseconds. */
      readonly clock: number;
    }
  /** News for the followers of the sender. */
  | FleetUpdate
  /**
   * A loan or draw of limit tokens, and the pool's reply on the same stream.
   */
  | LimitMessage;

/** A decoded frame. */
export type Frame =
  | {readonly kind: 'call'; readonly head: CallHead}
  | {readonly kind: 'answer'; readonly head: AnswerHead}
  | {readonly kind: 'chunk'; readonly bytes: Buffer}
  | {readonly kind: 'end'}
  | {readonly kind: 'refusal'; readonly refusal: RefusalFrame}
  /** A slot is reserved: the go signal or the rest of the body may follow. */
  | {readonly kind: 'continue'}
  /** The call is queued for a slot. */
  | {readonly kind: 'queued'}
  /** The go signal: the call may run in its slot, with this request. */
  | {readonly kind: 'go'; readonly request: CallRequest}
  /** Belongs to no call. */
  | {readonly kind: 'news'; readonly news: PeerNews}
  /** The entry cancels the exchange. */
  | {readonly kind: 'cancel'}
  /** The answer was interrupted. */
  | {readonly kind: 'lost'}
  /** Flow control: the caller has taken this many bytes of the answer. */
  | {readonly kind: 'credit'; readonly bytes: number};
