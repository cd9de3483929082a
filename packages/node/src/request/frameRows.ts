// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Frames of calls as rows of values, in the order in which they go between nodes. */

import type {
  AnswerHead,
  CallHead,
  CallRequest,
  RefusalFrame,
} from './frameTypes.js';
import {fromRow, toRow} from './rows.js';
import {
  OUTCOME_CODES,
  REASON_CODES,
  REPETITION_CODES,
  TERMS_CODES,
  hintOf,
  hintRow,
} from './wireCodes.js';
import type {HintRow} from './wireCodes.js';

/**
 * Frames that every call needs go as rows of values in these orders: the names
 * of the fields would be a third of their bytes, and bytes between data centres
 * are paid for.
 */
const CALL_FIELDS = [
  'requestId',
  'service',
  'upstream',
  'customer',
  'weight',
  'route',
  'repetition',
  'priority',
  'remaining',
  'attempt',
  'retryShare',
  'mayBeRepeat',
  'onceKey',
  'requestDigest',
  'method',
  'path',
  'headers',
  'body',
  'hasMore',
  'needsGo',
  'terms',
  'usefulFor',
  'startWithin',
  'expectedMilliseconds',
] as const satisfies readonly (keyof CallHead)[];

/** The order of an answer's fields. */
const ANSWER_FIELDS = [
  'status',
  'headers',
  'upstream',
  'hint',
  'isUnframed',
  'ranMilliseconds',
  'body',
  'hasMore',
] as const satisfies readonly (keyof AnswerHead)[];

/** The order of a request's fields. */
const GO_FIELDS = [
  'method',
  'path',
  'headers',
  'body',
  'requestDigest',
] as const satisfies readonly (keyof CallRequest)[];

/** A call's head with numbers in place of words. */
type CodedHead = Omit<CallHead, 'repetition' | 'terms'> & {
  readonly repetition: number;
  readonly terms: number;
};

/** An answer's head with its hint as a row. */
type CodedAnswer = Omit<AnswerHead, 'hint'> & {
  readonly hint: HintRow | undefined;
};

type RefusalRow = readonly [
  reason: number,
  outcome: number,
  retryAfterMilliseconds: number,
  upstream: string,
  hint: HintRow | null,
];

/** The row of a refusal. */
export function refusalRow({
  refusal,
  upstream,
  hint,
}: RefusalFrame): RefusalRow {
  const {reason, outcome, retryAfterMilliseconds} = refusal;
  return [
    REASON_CODES.codeOf(reason),
    OUTCOME_CODES.codeOf(outcome),
    Math.ceil(retryAfterMilliseconds),
    upstream,
    hint === undefined ? null : hintRow(hint),
  ];
}

/** The refusal of a row. */
export function refusalFrom(row: RefusalRow): RefusalFrame {
  const [reason, outcome, retryAfterMilliseconds, upstream, hint] = row;
  return {
    refusal: {
      reason: REASON_CODES.wordOf(reason),
      outcome: OUTCOME_CODES.wordOf(outcome),
      retryAfterMilliseconds,
    },
    upstream,
    hint: hint === null ? undefined : hintOf(hint),
  };
}

/** The row of a call's head. */
export function headRow(head: CallHead): readonly unknown[] {
  const coded: CodedHead = {
    ...head,
    repetition: REPETITION_CODES.codeOf(head.repetition),
    terms: TERMS_CODES.codeOf(head.terms),
  };
  return toRow(CALL_FIELDS, coded);
}

/** The call's head of a row. */
export function headFrom(row: readonly unknown[]): CallHead {
  const coded = fromRow<CodedHead>(CALL_FIELDS, row);
  return {
    ...coded,
    repetition: REPETITION_CODES.wordOf(coded.repetition),
    terms: TERMS_CODES.wordOf(coded.terms),
  };
}

/** The row of an answer's head. */
export function answerRow(head: AnswerHead): readonly unknown[] {
  const hint = head.hint && hintRow(head.hint);
  return toRow<CodedAnswer>(ANSWER_FIELDS, {...head, hint});
}

/** The answer's head of a row. */
export function answerFrom(row: readonly unknown[]): AnswerHead {
  const coded = fromRow<CodedAnswer>(ANSWER_FIELDS, row);
  return {...coded, hint: coded.hint && hintOf(coded.hint)};
}

/** The row of a request. */
export function requestRow(request: CallRequest): readonly unknown[] {
  return toRow(GO_FIELDS, request);
}

/** The request of a row. */
export function requestFrom(row: readonly unknown[]): CallRequest {
  const request = fromRow<CallRequest>(GO_FIELDS, row);
  // A node of an earlier release tells none.
  return {...request, requestDigest: request.requestDigest ?? ''};
}
