// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Options and decisions of admission control. */

import type {CreateConcurrencyLimit} from './concurrencyLimit.js';
import type {RefusalReason} from '@lockpin/types';
import type {WaitingCall} from './waitingCall.js';

/** Decision on a call that was offered. */
export type AdmissionDecision =
  | {readonly kind: 'start'}
  | {readonly kind: 'queued'; readonly displaced: WaitingCall | undefined}
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReason;
      readonly retryAfterMilliseconds: number;
    };

/** Queued calls that were started or expired when slots were filled. */
export interface DispatchResult {
  readonly started: readonly WaitingCall[];
  readonly expired: readonly WaitingCall[];
}

/** Behaviour that a deployment may choose. */
export interface AdmissionOptions {
  /** The concurrency limit; an AdaptiveLimit when absent. */
  readonly createLimit?: CreateConcurrencyLimit;
  /** See RankLevel; customers have no burst when absent. */
  readonly burstCallsFor?: (slots: number) => number;
  /** Whether calls leave the queue once their turn is expected too late. */
  readonly removesHopeless?: boolean;
}
