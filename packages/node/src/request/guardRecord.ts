// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The log record of a call at its guard. */

import type {
  DoubtReason,
  GuardLimits,
  LimitInForce,
  NestedShortage,
} from '@lockpin/brain';
import type {UpstreamNotice} from '@lockpin/types';
import type {CallHead} from './frames.js';

/** The log record of a call at the guard of its upstream. */
export interface GuardRecord {
  readonly head: CallHead;
  readonly upstream: string;
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'cancelled';
  /** The reason of a refusal; empty for an answer. */
  readonly reason: string;
  /** Set only for calls that were refused as 'upstream-doubted'. */
  readonly doubtReason: DoubtReason | undefined;
  /** Set only for calls that were refused as 'upstream-over-limit'. */
  readonly limit: LimitInForce | undefined;
  /** At the end of the call; undefined if its upstream is not known. */
  readonly limits: GuardLimits | undefined;
  /** Set for offers that were refused as 'nested-busy'. */
  readonly shortage?: NestedShortage | undefined;
  /** The HTTP status of the upstream; 0 when there is none. */
  readonly status: number;
  /** Stated by the upstream in its answer; undefined without an answer. */
  readonly notice: UpstreamNotice | undefined;
  /** From the offer until the call was sent to the upstream, or ended. */
  readonly waitedMilliseconds: number;
  /** From sending the call to its end; 0 when it was never sent. */
  readonly ranMilliseconds: number;
  /**
   * Bytes of the answer that were buffered for its reader when the call ended
   * here; undefined for short answers, as the next.
   */
  readonly unreadBytes?: number | undefined;
  /**
   * How the connection to the upstream failed: the code of its error, 'answer-reset'
   * for a reset that arrived with the last bytes, 'foreign-answer' for the
   * answer of another call, or 'no-answer' for bytes that are no answer in HTTP.
   * Undefined unless it did.
   */
  readonly failure?: string | undefined;
  /** How long the answer was not read on because of a bound on memory. */
  readonly blockedMilliseconds?: number | undefined;
}
