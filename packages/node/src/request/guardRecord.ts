// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What became of one call at the guard of its upstream. */

import type {DoubtReason} from '@lockpin/brain';
import type {CallHead} from './frames.js';

/** What became of one call at the guard of its upstream. */
export interface GuardRecord {
  readonly head: CallHead;
  readonly upstream: string;
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'cancelled';
  /** The reason of a refusal; empty for an answer. */
  readonly reason: string;
  /** Set only for calls that were refused as 'upstream-doubted'. */
  readonly doubtReason: DoubtReason | undefined;
  /** The upstream's status; 0 when there is none. */
  readonly status: number;
  /** From the offer to the call's way to the upstream, or its end. */
  readonly waitedMilliseconds: number;
  /** From there to the answer; 0 when the call was never sent. */
  readonly ranMilliseconds: number;
}
