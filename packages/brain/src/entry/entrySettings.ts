// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a deployment may choose of the entry's way of offering calls. */

import {
  DEFAULT_LINK_PATIENCE,
  DEFAULT_SUBSET_SIZES,
  RetryBudget,
  chooseUpstream,
} from '@lockpin/routing';
import type {
  ChooseUpstream,
  LinkPatience,
  RetryAllowance,
  SubsetSizes,
} from '@lockpin/routing';
import type {RefusalReason} from '@lockpin/types';
import type {OfferTerms} from './entryMessages.js';

/** The entry's way of offering calls. */
export interface EntrySettings {
  readonly choose: ChooseUpstream;
  /** How many upstreams of each service an entry calls. */
  readonly subsetSizes: SubsetSizes;
  readonly linkPatience: LinkPatience;
  /** Makes the budget that pays for the retries of one service. */
  readonly createBudget: () => RetryAllowance;
  /** What the first offers of a call ask for. */
  readonly firstTerms: OfferTerms;
  /** Offers in vain after which a call asks for less. */
  readonly offersOnEachTerms: number;
  /**
   * Time in which a guard that is asked to keep a slot has to answer: a round
   * trip and a turn of its loop, with room for a slow box.
   */
  readonly silenceMilliseconds: number;
  /** Pause after a round of offers in vain; 0 to give up at once. */
  readonly pauseMilliseconds: number;
  /** Part of its time that a call is held in vain before it is refused. */
  readonly heldShare: number;
  /** Times a call may go elsewhere without being paid for. */
  readonly mostReroutes: number;
  /** Refusals after which going elsewhere costs nothing. */
  readonly freeRefusals: ReadonlySet<RefusalReason>;
  /** How much longer no upstream is to run a request, in milliseconds; 0 if one may. */
  readonly quarantinedFor: (now: number, requestDigest: string) => number;
  /** Whether repeatable calls that take too long are sent elsewhere. */
  readonly replacesOverdue: boolean;
  /** Whether a call is offered for a late answer when none in time can be had. */
  readonly offersLate: boolean;
}

/** Refusals that tell of an upstream's standing: going elsewhere costs nothing. */
const STANDING_REFUSALS: readonly RefusalReason[] = [
  'upstream-ejected',
  'upstream-draining',
  'node-leaving',
  'no-upstream',
];

/** The way of a fleet whose guards limit retries themselves. */
export const DEFAULT_ENTRY_SETTINGS: EntrySettings = {
  choose: chooseUpstream,
  subsetSizes: DEFAULT_SUBSET_SIZES,
  linkPatience: DEFAULT_LINK_PATIENCE,
  createBudget: () => new RetryBudget(),
  firstTerms: 'last-resort',
  offersOnEachTerms: Number.POSITIVE_INFINITY,
  silenceMilliseconds: 100,
  pauseMilliseconds: 0,
  heldShare: 0,
  mostReroutes: 3,
  freeRefusals: new Set(STANDING_REFUSALS),
  quarantinedFor: () => 0,
  replacesOverdue: false,
  offersLate: true,
};

/** Refusals that tell that an upstream has no slot to spare. */
export const FULL_REFUSALS: ReadonlySet<RefusalReason> = new Set([
  'upstream-busy',
  'queue-full',
  'deadline-too-short',
]);

/** Refusals that hold wherever the call goes. */
export const LASTING_REFUSALS: ReadonlySet<RefusalReason> = new Set([
  'deadline-passed',
  'request-quarantined',
  'retries-exhausted',
]);

/** Refusals by guards that did not reach an upstream with the call. */
export const UNSENT_REFUSALS: ReadonlySet<RefusalReason> =
  new Set<RefusalReason>([
    ...STANDING_REFUSALS,
    'upstream-busy',
    'retries-exhausted',
    'upstream-doubted',
    'upstream-replaced',
    'upstream-unreachable',
    'reservation-expired',
    'queue-full',
    'deadline-too-short',
    'not-ready',
  ]);
