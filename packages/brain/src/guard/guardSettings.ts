// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Settings of a guard. */

import type {AdmissionOptions} from '@lockpin/admission';
import {RetryBudget} from '@lockpin/routing';
import type {RetryAllowance} from '@lockpin/routing';

/** Settings of the guard; the owner can switch single features off. */
export interface GuardSettings {
  /** Whether a few bad calls in a row divert ordinary calls for a moment. */
  readonly hasQuickDoubt: boolean;
  /** Whether unanswered calls are evidence for such doubt. */
  readonly hasHangEvidence: boolean;
  /**
   * Number of calls from this box that are delayed elsewhere. An upstream that
   * waits for one is late through no fault of its own; each explains one late
   * call, whichever upstream made it.
   */
  readonly heldUpCalls: () => number;
  /**
   * Whether most upstreams of a service reject calls at present. Rejections are
   * then no evidence against a single upstream: diverting calls from all of
   * them would leave only upstreams that fail in other ways.
   */
  readonly areRejectionsCommon: (now: number, service: string) => boolean;
  /** Whether weak evidence of a hang diverts calls that cannot be repeated. */
  readonly isCautious: boolean;
  /** Whether failures that a failed call from this box explains are ignored. */
  readonly excusesFailures: boolean;
  /** Whether calls waiting for an upstream are refused when doubt begins. */
  readonly doubtReleasesQueue: boolean;
  /** Whether a suspect upstream announces a reduced limit. */
  readonly limitsSuspects: boolean;
  /** Whether load hints contain the wait for a slot and the retries left. */
  readonly announcesCapacity: boolean;
  /** Creates the retry budget of a service on this box. */
  readonly createRetryBudget: (service: string) => RetryAllowance;
  /**
   * Whether waiting calls still run on an upstream that begins to drain; false
   * if its owner relies on receiving no further calls.
   */
  readonly drainFinishesQueue: boolean;
  /** Remaining quarantine of a request in milliseconds; 0 if it may run. */
  readonly quarantinedFor: (now: number, requestDigest: string) => number;
  /** A reserved slot is released after this time without the entry's go. */
  readonly reservationMilliseconds: number;
  /** Whether nested calls are recognised by the ids of their parents. */
  readonly tracksNestedCalls: boolean;
  /**
   * Whether calls are refused while services that they are likely to call have
   * no capacity for them.
   */
  readonly refusesBusyParents: boolean;
  readonly admission: AdmissionOptions;
}

/** Reservations outlast the slowest round trip between data centres. */
export const DEFAULT_GUARD_SETTINGS: GuardSettings = {
  hasQuickDoubt: false,
  hasHangEvidence: true,
  heldUpCalls: () => 0,
  areRejectionsCommon: () => false,
  isCautious: true,
  excusesFailures: true,
  doubtReleasesQueue: true,
  limitsSuspects: true,
  announcesCapacity: false,
  createRetryBudget: () => new RetryBudget(),
  drainFinishesQueue: true,
  quarantinedFor: () => 0,
  reservationMilliseconds: 250,
  tracksNestedCalls: false,
  refusesBusyParents: false,
  admission: {},
};
