// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Numeric codes of enum values between nodes. They keep replies to offers to a
 * few bytes: each call makes several offers, and traffic between data centres
 * is billed. Codes are permanent; new values get new codes.
 */

import type {OfferTerms} from '@lockpin/brain';
import type {AnnouncedState, LoadHint} from '@lockpin/routing';
import type {
  KnownNotice,
  RefusalOutcome,
  RefusalReason,
  Repetition,
} from '@lockpin/types';
import {
  decodeCapacity,
  encodeCapacity,
  withoutTrailingNulls,
} from './capacityValues.js';
import type {CapacityValues} from './capacityValues.js';

/** Translates between the values of an enum and their codes. */
export interface WireCodes<Word extends string> {
  readonly codeOf: (word: Word) => number;
  readonly nameOf: (code: number) => Word;
}

function wireCodes<Word extends string>(
  codes: Readonly<Record<Word, number>>,
  wordOfUnknownCode: Word,
): WireCodes<Word> {
  const words = new Map<number, Word>();
  for (const word of Object.keys(codes) as Word[]) {
    words.set(codes[word], word);
  }
  return {
    codeOf: (word) => codes[word],
    nameOf: (code) => words.get(code) ?? wordOfUnknownCode,
  };
}

/**
 * Refusal reasons. An unknown code, from a newer node, reads as 'guard-lost'.
 */
export const REASON_CODES = wireCodes<RefusalReason>(
  {
    'service-unknown': 1,
    'route-unknown': 2,
    'credential-wrong': 3,
    'request-malformed': 4,
    'body-too-large': 5,
    'no-upstream': 6,
    'upstream-ejected': 7,
    'upstream-draining': 8,
    'upstream-unreachable': 9,
    'upstream-failed': 10,
    'upstream-busy': 11,
    'upstream-doubted': 12,
    'upstream-refused': 13,
    'upstream-replaced': 14,
    'reservation-expired': 15,
    'guard-unreachable': 16,
    'guard-lost': 17,
    'guard-silent': 18,
    'node-leaving': 19,
    'not-ready': 20,
    'queue-full': 21,
    'customer-over-share': 22,
    'retries-exhausted': 23,
    'deadline-too-short': 24,
    'deadline-passed': 25,
    'caller-left': 26,
    'once-key-missing': 27,
    'once-key-malformed': 28,
    'once-key-reused': 29,
    'once-key-refused': 30,
    'once-key-running': 31,
    'once-already-ran': 32,
    'once-home-unreachable': 33,
    'once-home-replaced': 34,
    'once-key-expired': 35,
    'key-missing': 36,
    'key-unknown': 37,
    'keys-outdated': 38,
    'customer-over-limit': 39,
    'limit-unknown': 40,
    'request-quarantined': 41,
    'upstream-over-limit': 42,
    'nested-busy': 43,
    'memory-exhausted': 44,
    'connections-full': 45,
  },
  'guard-lost',
);

/**
 * Refusal outcomes. An unknown code reads as 'unknown': the call may have run.
 */
export const OUTCOME_CODES = wireCodes<RefusalOutcome>(
  {'not-run': 1, unknown: 2},
  'unknown',
);

/** Whether a call may be repeated. An unknown code reads as 'at-most-once'. */
export const REPETITION_CODES = wireCodes<Repetition>(
  {repeatable: 1, 'at-most-once': 2, 'once-only': 3},
  'at-most-once',
);

/** The terms of an offer. */
export const TERMS_CODES = wireCodes<OfferTerms>(
  {immediate: 1, 'may-wait': 2, 'may-be-late': 3, 'last-resort': 4, trial: 5},
  'immediate',
);

const STATE_CODES = wireCodes<AnnouncedState>(
  {accepting: 1, doubted: 2, probation: 3, ejected: 4, draining: 5},
  'accepting',
);

/** The row of a notice; the last value is 1 if the upstream is leaving. */
export type NoticeRow = readonly [
  incarnation: string,
  requestsPerSecond: number | null,
  isLeaving: number,
];

/** The row of a load hint; times in whole milliseconds. */
export type HintRow = readonly [
  state: number,
  occupied: number,
  limit: number,
  doubtedFor?: number | null,
  probeIn?: number | null,
  availableIn?: number | null,
  notice?: NoticeRow | null,
  slotIn?: CapacityValues[0],
  retriesLeft?: CapacityValues[1],
  rejectedPercent?: CapacityValues[2],
  fallbackFor?: number | null,
];

/** Encodes a notice. */
export function encodeNotice(notice: KnownNotice): NoticeRow {
  const {incarnation, requestsPerSecond, isLeaving} = notice;
  return [incarnation, requestsPerSecond ?? null, isLeaving ? 1 : 0];
}

/** Decodes a notice from its row. */
export function decodeNotice(row: NoticeRow): KnownNotice {
  const [incarnation, requestsPerSecond, isLeaving] = row;
  return {
    incarnation,
    requestsPerSecond: requestsPerSecond ?? undefined,
    isLeaving: isLeaving === 1,
  };
}

/**
 * Encodes a load hint; the limit rounds up, which admits the same whole calls.
 * Values at the end that are absent are left out.
 */
export function encodeLoadHint(hint: LoadHint): HintRow {
  const {state, occupied, limit} = hint;
  const {doubtedFor, probeIn = doubtedFor, availableIn, notice} = hint;
  const [slotIn, retriesLeft, rejectedPercent] = encodeCapacity(hint);
  return withoutTrailingNulls<HintRow>([
    STATE_CODES.codeOf(state),
    occupied,
    Math.ceil(limit),
    roundedUp(doubtedFor),
    roundedUp(probeIn),
    roundedUp(availableIn),
    notice === undefined ? null : encodeNotice(notice),
    slotIn,
    retriesLeft,
    rejectedPercent,
    roundedUp(hint.fallbackFor),
  ]);
}

/** Decodes a load hint from its row. */
export function decodeLoadHint(row: HintRow): LoadHint {
  const [code, occupied, limit, ...optional] = row;
  const [doubtedFor, probeIn, availableIn, notice, ...last] = optional;
  const [slotIn, retriesLeft, rejectedPercent, fallbackFor] = last;
  return {
    state: STATE_CODES.nameOf(code),
    occupied,
    limit,
    ...(typeof doubtedFor === 'number' && {
      doubtedFor,
      probeIn: probeIn ?? doubtedFor,
    }),
    ...(typeof availableIn === 'number' && {availableIn}),
    ...(notice && {notice: decodeNotice(notice)}),
    ...decodeCapacity([slotIn, retriesLeft, rejectedPercent]),
    ...(typeof fallbackFor === 'number' && {fallbackFor}),
  };
}

function roundedUp(milliseconds: number | undefined): number | null {
  return milliseconds === undefined ? null : Math.ceil(milliseconds);
}
