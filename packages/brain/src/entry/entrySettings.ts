// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How an entry offers calls to upstreams. */

import {
  DEFAULT_LINK_AVOIDANCE,
  DEFAULT_SUBSET_SIZES,
  RetryBudget,
  chooseUpstream,
  isInOwnDataCentre,
} from '@lockpin/routing';
import type {
  ChooseUpstream,
  IsNear,
  LinkAvoidanceSettings,
  LoadHint,
  RetryAllowance,
  SubsetSizes,
} from '@lockpin/routing';
import type {RefusalReason} from '@lockpin/types';
import type {OfferTerms} from './entryMessages.js';

/** Settings of an entry; a deployment chooses them. */
export interface EntrySettings {
  readonly choose: ChooseUpstream;
  /** Whether offers go where spare capacity is known; see OfferPlanner. */
  readonly plansOffers: boolean;
  /** Whether planned retries go only where guards have retries left. */
  readonly fundsRetries: boolean;
  /** Which upstreams with free slots come first if offers are planned. */
  readonly isNear: IsNear;
  /** The current load of an upstream on this box; undefined for any other. */
  readonly ownHint: (now: number, upstream: string) => LoadHint | undefined;
  /** How many upstreams of each service an entry calls. */
  readonly subsetSizes: SubsetSizes;
  readonly linkAvoidance: LinkAvoidanceSettings;
  /** Creates the retry budget of one service. */
  readonly createRetryBudget: () => RetryAllowance;
  /** Terms of the first offers of a call. */
  readonly initialTerms: OfferTerms;
  /** Refused offers after which a call is offered on easier terms. */
  readonly offersPerTerms: number;
  /**
   * Time in which a guard has to acknowledge an offer: a round trip and one
   * turn of its event loop, with a margin for a slow box.
   */
  readonly acknowledgementTimeoutMilliseconds: number;
  /** First pause after a round of refused offers; 0 to refuse at once. */
  readonly pauseMilliseconds: number;
  /** Share of the time to its deadline for which a call waits for a slot. */
  readonly heldShare: number;
  /** Share of its latency goal for which it waits at most. */
  readonly heldGoalShare: number;
  /**
   * Whether a call is refused at once when no upstream has a slot or queue for
   * it, and when no guard acknowledges it while it may wait.
   */
  readonly boundsHolding: boolean;
  /** Whether the times to come back spread callers; see ReturnTimes. */
  readonly spreadsReturns: boolean;
  /** Free reroutes of a call in each round of offers. */
  readonly maximumReroutes: number;
  /** Refusals after which a reroute costs no retry budget. */
  readonly freeRerouteRefusals: ReadonlySet<RefusalReason>;
  /** Remaining quarantine of a request in milliseconds; 0 if it may run. */
  readonly quarantinedFor: (now: number, requestDigest: string) => number;
  /** Whether overdue repeatable calls are hedged with a second attempt. */
  readonly hedgesOverdue: boolean;
  /** Whether a call that cannot be answered in time is offered all the same. */
  readonly offersLate: boolean;
  /** Whether cold upstreams are called whatever their estimated load. */
  readonly explores: boolean;
}

/** Refusals because of an upstream's state; a reroute is free after them. */
const UPSTREAM_STATE_REFUSALS: readonly RefusalReason[] = [
  'upstream-ejected',
  'upstream-draining',
  'node-leaving',
  'no-upstream',
  'upstream-over-limit',
];

/** Defaults: immediate refusals, and a retry budget at the entry. */
export const DEFAULT_ENTRY_SETTINGS: EntrySettings = {
  choose: chooseUpstream,
  plansOffers: false,
  fundsRetries: false,
  isNear: isInOwnDataCentre,
  ownHint: () => undefined,
  subsetSizes: DEFAULT_SUBSET_SIZES,
  linkAvoidance: DEFAULT_LINK_AVOIDANCE,
  createRetryBudget: () => new RetryBudget(),
  initialTerms: 'last-resort',
  offersPerTerms: Number.POSITIVE_INFINITY,
  acknowledgementTimeoutMilliseconds: 100,
  pauseMilliseconds: 0,
  heldShare: 0,
  heldGoalShare: Number.POSITIVE_INFINITY,
  boundsHolding: false,
  spreadsReturns: false,
  maximumReroutes: 3,
  freeRerouteRefusals: new Set(UPSTREAM_STATE_REFUSALS),
  quarantinedFor: () => 0,
  hedgesOverdue: false,
  offersLate: true,
  explores: false,
};

/** Refusals of upstreams that have no free slot. */
export const NO_SLOT_REFUSALS: ReadonlySet<RefusalReason> = new Set([
  'upstream-busy',
  'upstream-over-limit',
  'queue-full',
  'deadline-too-short',
]);

/** Refusals of calls for which there was no slot or no retry. */
export const NO_CAPACITY_REFUSALS: ReadonlySet<RefusalReason> = new Set([
  ...NO_SLOT_REFUSALS,
  'retries-exhausted',
  'upstream-refused',
]);

/** Refusals of calls that no queue starts in time, at their priority. */
export const HOPELESS_REFUSALS: ReadonlySet<RefusalReason> = new Set([
  'queue-full',
  'deadline-too-short',
]);

/** Refusals that every other upstream would repeat. */
export const NON_RETRYABLE_REFUSALS: ReadonlySet<RefusalReason> = new Set([
  'deadline-passed',
  'request-quarantined',
  'retries-exhausted',
]);

/** Refusals of calls that the guard did not send to its upstream. */
export const UNSENT_REFUSALS: ReadonlySet<RefusalReason> =
  new Set<RefusalReason>([
    ...UPSTREAM_STATE_REFUSALS,
    'upstream-busy',
    'retries-exhausted',
    'upstream-doubted',
    'upstream-replaced',
    'upstream-unreachable',
    'reservation-expired',
    'queue-full',
    'deadline-too-short',
    'not-ready',
    'nested-busy',
  ]);

/**
 * Refusals of nested calls that show a lack of capacity of their service. Those
 * of upstreams that reject calls regardless of their load do not.
 */
export const NESTED_SHORTAGE_REFUSALS: ReadonlySet<RefusalReason> =
  new Set<RefusalReason>([
    ...NO_SLOT_REFUSALS,
    'customer-over-share',
    'deadline-passed',
    'nested-busy',
  ]);
