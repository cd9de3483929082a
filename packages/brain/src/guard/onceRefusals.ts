// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Refusals of repeated once keys. */

import type {OnceDecision} from '@lockpin/once';
import type {RefusalOutcome, RefusalReason} from '@lockpin/types';

/** Decisions on a repeated key other than replaying the stored answer. */
export type RepeatDecision = Exclude<OnceDecision['kind'], 'run' | 'answer'>;

interface RepeatRefusal {
  readonly reason: RefusalReason;
  readonly outcome: RefusalOutcome;
}

const REFUSALS: Readonly<Record<RepeatDecision, RepeatRefusal>> = {
  'already-ran': {reason: 'once-already-ran', outcome: 'unknown'},
  'may-have-run': {reason: 'once-already-ran', outcome: 'unknown'},
  running: {reason: 'once-key-running', outcome: 'unknown'},
  'refused-earlier': {reason: 'once-key-refused', outcome: 'not-run'},
  'other-request': {reason: 'once-key-reused', outcome: 'not-run'},
  'other-home': {reason: 'once-home-replaced', outcome: 'unknown'},
  expired: {reason: 'once-key-expired', outcome: 'unknown'},
};

/** The refusal for a decision; not-run only where the ledger is certain. */
export function onceRefusal(decision: RepeatDecision): RepeatRefusal {
  return REFUSALS[decision];
}
