// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** State that an entry keeps of a call from its arrival to its end. */

import type {Refusal} from '@lockpin/types';
import type {EntryAction, EntryCall, OfferTerms} from './entryMessages.js';
import {NO_SLOT_REFUSALS} from './entrySettings.js';
import type {EntrySettings} from './entrySettings.js';
import type {RetryState} from './retryPolicy.js';

/**
 * A call may wait this long even if that is much of its goal. The timeouts of two
 * guards that do not respond take 240 ms, and others may have capacity.
 */
const MINIMUM_HELD_MILLISECONDS = 250;

/** State of one open call. */
export interface CallState extends RetryState {
  /** Upstreams that got an offer on the current terms. */
  tried: Set<string>;
  /** Upstreams that may have run the call. */
  readonly ran: Set<string>;
  /** Upstreams that rejected the call themselves; it has not run there. */
  readonly rejectedBy: Set<string>;
  terms: OfferTerms;
  /** A guard refused it because no slot was expected in time. */
  isShortOfTime: boolean;
  /** Only limits that upstreams state have kept it from a slot this round. */
  isOnlyLimited: boolean;
  /** Offers of this round that were refused for lack of a free slot. */
  slotRefusals: number;
  /** Offers that were refused because the guard had no retries left. */
  exhaustedRefusals: number;
  /** Offers that were not acknowledged. */
  unacknowledgedOffers: number;
  /** Rounds of offers that were refused throughout. */
  pauses: number;
  /** Guards that refused the call for lack of capacity for its nested calls. */
  nestedBusyRefusals: number;
  /** Shortest wait for a slot reported in this round, in milliseconds. */
  shortestWait: number;
  /** When the call arrived, in milliseconds since 1970. */
  readonly arrivedAt: number;
  /** Until then the call may wait for a slot, in milliseconds since 1970. */
  readonly heldUntil: number;
  /** The upstream of the latest attempt. */
  upstream: string;
  /** When the latest attempt was offered, in milliseconds since 1970. */
  offeredAt: number;
  /** The upstream of an overdue attempt that is still running. */
  overdueUpstream: string | undefined;
  /** The outcome to report unless the overdue attempt succeeds. */
  pending: EntryAction | undefined;
  /** An earlier attempt may have run. */
  mayHaveRun: boolean;
  /** A failed answer is buffered, to be passed on unless a retry succeeds. */
  hasFallbackAnswer: boolean;
  /** The latest attempt has not ended. */
  isAttempting: boolean;
}

/** Creates the state of a call that has just arrived. */
export function createCallState(
  now: number,
  call: EntryCall,
  {initialTerms, heldShare, heldGoalShare}: EntrySettings,
): CallState {
  return {
    call,
    tried: new Set(),
    ran: new Set(),
    rejectedBy: new Set(),
    terms: initialTerms,
    isShortOfTime: false,
    isOnlyLimited: true,
    slotRefusals: 0,
    exhaustedRefusals: 0,
    unacknowledgedOffers: 0,
    pauses: 0,
    nestedBusyRefusals: 0,
    shortestWait: Number.POSITIVE_INFINITY,
    arrivedAt: now,
    heldUntil: Math.min(
      now + (call.deadline - now) * heldShare,
      now + Math.max(MINIMUM_HELD_MILLISECONDS, goalOf(call) * heldGoalShare),
    ),
    upstream: '',
    offeredAt: now,
    overdueUpstream: undefined,
    pending: undefined,
    paidAttempts: 1,
    reroutes: 0,
    hasBodyBegun: false,
    mayHaveRun: false,
    hasFallbackAnswer: false,
    isAttempting: false,
  };
}

function goalOf({route}: EntryCall): number {
  return route.spec.goalMilliseconds ?? route.spec.waitMilliseconds;
}

/** When the answer is due: the latency goal, or the deadline without one. */
export function goalEnd({arrivedAt, call}: CallState): number {
  const {goalMilliseconds} = call.route.spec;
  return goalMilliseconds === undefined
    ? call.deadline
    : Math.min(call.deadline, arrivedAt + goalMilliseconds);
}

/** Records why the latest offer was refused. */
export function recordRefusal(
  state: CallState,
  {reason, retryAfterMilliseconds}: Refusal,
): void {
  state.isShortOfTime ||=
    reason === 'deadline-too-short' ||
    (reason === 'upstream-over-limit' && state.terms !== 'immediate');
  state.isOnlyLimited &&= reason === 'upstream-over-limit';
  if (reason === 'upstream-refused') {
    state.rejectedBy.add(state.upstream);
  }
  state.exhaustedRefusals += reason === 'retries-exhausted' ? 1 : 0;
  if (NO_SLOT_REFUSALS.has(reason)) {
    state.slotRefusals += 1;
    state.shortestWait = Math.min(state.shortestWait, retryAfterMilliseconds);
  }
}

/** Whether the next offer of a call is paid from the retry budget of a guard. */
export function isRetry({call, paidAttempts}: CallState): boolean {
  return paidAttempts > 1 || call.isCallersRetry;
}

/** Changes the terms of a call; all upstreams may be offered it again. */
export function setTerms(state: CallState, terms: OfferTerms): void {
  state.terms = terms;
  state.tried = new Set();
}

/** Whether a call got no slot on the initial terms or is overdue. */
export function isDelayed(state: CallState, initialTerms: OfferTerms): boolean {
  const {terms, pauses, overdueUpstream} = state;
  return terms !== initialTerms || pauses > 0 || overdueUpstream !== undefined;
}
