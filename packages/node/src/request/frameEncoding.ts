// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Positional encoding of the frames of calls, as rows of values. */

import type {
  AnswerHead,
  CallHead,
  CallRequest,
  RefusalFrame,
} from './frameTypes.js';
import {decodeCapacityRows, encodeCapacityRows} from './capacityEncoding.js';
import type {EncodedCapacityRow} from './capacityEncoding.js';
import {decodeRow, encodeRow} from './rowEncoding.js';
import {
  OUTCOME_CODES,
  REASON_CODES,
  REPETITION_CODES,
  TERMS_CODES,
  decodeLoadHint,
  decodeNotice,
  encodeLoadHint,
  encodeNotice,
} from './wireCodes.js';
import type {HintRow, NoticeRow} from './wireCodes.js';

/**
 * The field order of a call's head. The frames of calls are encoded as rows
 * without field names, because the names would be a third of their bytes and
 * traffic between data centres is billed.
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
  'knownNotice',
  'isNested',
] as const satisfies readonly (keyof CallHead)[];

/**
 * The field order of an answer's head. The reserved one held what earlier
 * releases need only to answer without chunks.
 */
const ANSWER_FIELDS = [
  'status',
  'headers',
  'upstream',
  'hint',
  'reserved',
  'ranMilliseconds',
  'body',
  'hasMore',
  'others',
] as const satisfies readonly (keyof CodedAnswer)[];

/** The field order of a request. */
const REQUEST_FIELDS = [
  'method',
  'path',
  'headers',
  'body',
  'requestDigest',
] as const satisfies readonly (keyof CallRequest)[];

/** A call's head with its enum values as codes. */
type CodedHead = Omit<
  CallHead,
  'repetition' | 'terms' | 'knownNotice' | 'isNested'
> & {
  readonly repetition: number;
  readonly terms: number;
  readonly knownNotice: NoticeRow | undefined;
  readonly isNested: boolean | undefined;
};

/** An answer's head with its hint and other upstreams as rows. */
type CodedAnswer = Omit<AnswerHead, 'hint' | 'others'> & {
  readonly reserved: undefined;
  readonly hint: HintRow | undefined;
  readonly others: readonly EncodedCapacityRow[] | undefined;
};

type RefusalRow = readonly [
  reason: number,
  outcome: number,
  retryAfterMilliseconds: number,
  upstream: string,
  hint: HintRow | null,
  others?: readonly EncodedCapacityRow[],
];

/** Encodes a refusal as a row. */
export function encodeRefusal({
  refusal,
  upstream,
  hint,
  others = [],
}: RefusalFrame): RefusalRow {
  const {reason, outcome, retryAfterMilliseconds} = refusal;
  const row = [
    REASON_CODES.codeOf(reason),
    OUTCOME_CODES.codeOf(outcome),
    Math.ceil(retryAfterMilliseconds),
    upstream,
    hint === undefined ? null : encodeLoadHint(hint),
  ] as const;
  return others.length === 0 ? row : [...row, encodeCapacityRows(others)];
}

/** Decodes a refusal from its row. */
export function decodeRefusal(row: RefusalRow): RefusalFrame {
  const [reason, outcome, retryAfterMilliseconds, upstream, hint, others] = row;
  return {
    refusal: {
      reason: REASON_CODES.nameOf(reason),
      outcome: OUTCOME_CODES.nameOf(outcome),
      retryAfterMilliseconds,
    },
    upstream,
    hint: hint === null ? undefined : decodeLoadHint(hint),
    ...(others !== undefined && {others: decodeCapacityRows(others)}),
  };
}

/** Encodes a call's head as a row. */
export function encodeCallHead(head: CallHead): readonly unknown[] {
  const coded: CodedHead = {
    ...head,
    repetition: REPETITION_CODES.codeOf(head.repetition),
    terms: TERMS_CODES.codeOf(head.terms),
    knownNotice: head.knownNotice && encodeNotice(head.knownNotice),
  };
  return encodeRow(CALL_FIELDS, coded);
}

/** Decodes a call's head from its row. */
export function decodeCallHead(row: readonly unknown[]): CallHead {
  const coded = decodeRow<CodedHead>(CALL_FIELDS, row);
  return {
    ...coded,
    repetition: REPETITION_CODES.nameOf(coded.repetition),
    terms: TERMS_CODES.nameOf(coded.terms),
    knownNotice: coded.knownNotice && decodeNotice(coded.knownNotice),
    isNested: coded.isNested === true,
  };
}

/** Encodes an answer's head as a row. */
export function encodeAnswerHead(head: AnswerHead): readonly unknown[] {
  const hint = head.hint && encodeLoadHint(head.hint);
  const {others: known = []} = head;
  const others = known.length === 0 ? undefined : encodeCapacityRows(known);
  const coded: CodedAnswer = {...head, hint, others, reserved: undefined};
  const row = encodeRow(ANSWER_FIELDS, coded);
  return others === undefined ? row.slice(0, -1) : row;
}

/** Decodes an answer's head from its row. */
export function decodeAnswerHead(row: readonly unknown[]): AnswerHead {
  const coded = decodeRow<CodedAnswer>(ANSWER_FIELDS, row);
  return {
    ...coded,
    hint: coded.hint && decodeLoadHint(coded.hint),
    others: coded.others && decodeCapacityRows(coded.others),
  };
}

/** Encodes a request as a row. */
export function encodeCallRequest(request: CallRequest): readonly unknown[] {
  return encodeRow(REQUEST_FIELDS, request);
}

/** Decodes a request from its row. */
export function decodeCallRequest(row: readonly unknown[]): CallRequest {
  const request = decodeRow<CallRequest>(REQUEST_FIELDS, row);
  // Nodes of earlier releases do not send a digest.
  return {...request, requestDigest: request.requestDigest ?? ''};
}
