// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Messages between boxes that receive calls and token pools. */

/** A timestamp of a pool's process, as sent by the pool. */
export interface PoolTimestamp {
  /** Distinguishes processes on one box. */
  readonly process: number;
  /** Milliseconds by the clock of that process. */
  readonly at: number;
}

/**
 * Lends a box's share of all limits, for a limited time after a timestamp of
 * the pool.
 */
export interface Loan {
  readonly since: PoolTimestamp;
  /** Number of boxes known to the lender; its share is one of them. */
  readonly boxes: number;
  /** The set of pools that the lender's share is divided among, see PoolSet. */
  readonly poolsDigest: number;
  /** Names of the pools; undefined if the pool already knows the set. */
  readonly pools: readonly string[] | undefined;
}

/** Requests tokens of one customer, or returns surplus ones. */
export interface Draw {
  readonly customer: string;
  /** Tokens in the box's local stock. */
  readonly held: number;
  /** Calls waiting for a token. */
  readonly waiting: number;
  /** Tokens requested for the local stock on top of those. */
  readonly stock: number;
  /** Tokens returned unused with this message. */
  readonly returned: number;
}

/** A message to a pool. */
export interface LimitRequest {
  readonly kind: 'limit-request';
  readonly box: string;
  readonly loan: Loan | undefined;
  readonly draws: readonly Draw[];
}

/** A pool's response to a draw. */
export interface Grant {
  readonly customer: string;
  readonly tokens: number;
  /**
   * Milliseconds until a token is available; 0 if the waiting calls were
   * covered.
   */
  readonly retryAfterMilliseconds: number;
}

/** A pool's reply. */
export interface LimitReply {
  readonly kind: 'limit-reply';
  readonly box: string;
  readonly moment: PoolTimestamp;
  /** Digest of the pool set of the requester's loan; 0 without a loan. */
  readonly poolsDigest: number;
  /** The pool does not know the set behind the digest of the loan. */
  readonly lacksPools: boolean;
  readonly grants: readonly Grant[];
}

/** A message in either direction. */
export type LimitMessage = LimitRequest | LimitReply;
