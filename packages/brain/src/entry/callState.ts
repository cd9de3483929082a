// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What an entry keeps of a call from its arrival to its end. */

import type {EntryAction, EntryCall, OfferTerms} from './entryMessages.js';
import type {EntrySettings} from './entrySettings.js';
import type {RetryState} from './retryPolicy.js';

/** Changes with each event of the call. */
export interface CallState extends RetryState {
  /** Upstreams that an offer on the present terms was made to. */
  tried: Set<string>;
  /** Upstreams that may have run the call. */
  readonly ran: Set<string>;
  terms: OfferTerms;
  /** A guard had no slot for it in the time in which an answer is worth most. */
  isShortOfTime: boolean;
  /** Offers of this call that no guard answered. */
  silences: number;
  /** Rounds of offers in vain. */
  pauses: number;
  /** The shortest wait for a slot that a guard told in this round, in milliseconds. */
  shortestWait: number;
  /** Until then it may be held without an offer that was taken. */
  readonly heldUntil: number;
  upstream: string;
  /** The upstream of an attempt that goes on though it is overdue. */
  overdueAt: string | undefined;
  /** What the caller is told unless the overdue attempt is answered. */
  pending: EntryAction | undefined;
  /** An attempt that may have run is behind us. */
  mayHaveRun: boolean;
  /** A whole answer, a failure, is at hand; another attempt was made for a better one. */
  hasSpareAnswer: boolean;
  /** An attempt is under way. */
  isAttempting: boolean;
}

/** The state of a call that has just arrived. */
export function arrivedCall(
  now: number,
  call: EntryCall,
  {firstTerms, heldShare}: EntrySettings,
): CallState {
  return {
    call,
    tried: new Set(),
    ran: new Set(),
    terms: firstTerms,
    isShortOfTime: false,
    silences: 0,
    pauses: 0,
    shortestWait: Number.POSITIVE_INFINITY,
    heldUntil: now + (call.deadline - now) * heldShare,
    upstream: '',
    overdueAt: undefined,
    pending: undefined,
    paidAttempts: 1,
    reroutes: 0,
    mayHaveRun: false,
    hasSpareAnswer: false,
    isAttempting: false,
  };
}

/** Offers on other terms begin anew with all upstreams. */
export function setTerms(state: CallState, terms: OfferTerms): void {
  state.terms = terms;
  state.tried = new Set();
}

/** A call that found no slot at first, or takes too long where it runs. */
export function isHeldUp(state: CallState, firstTerms: OfferTerms): boolean {
  const {terms, pauses, overdueAt} = state;
  return terms !== firstTerms || pauses > 0 || overdueAt !== undefined;
}
