// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What the terms of an offer allow its guard. */

import type {GuardCall, OfferTerms} from '@lockpin/brain';

/** The part of a guard's call that the terms of its offer decide on. */
export type GuardTerms = Required<
  Pick<GuardCall, 'mayWait' | 'mayRunDoubted' | 'isTrial'>
>;

/** What a guard may do with a call that is offered on some terms. */
export function guardTerms(terms: OfferTerms): GuardTerms {
  return {
    mayWait: terms !== 'immediate' && terms !== 'trial',
    mayRunDoubted: terms === 'last-resort',
    isTrial: terms === 'trial',
  };
}
