// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Frames as rows of values, in the order in which they go between nodes. */

import type {BoxRecord, ReaderReport} from '@lockpin/fleet';
import type {RunReport} from '@lockpin/quarantine';
import type {
  AnswerHead,
  CallHead,
  CallRequest,
  PeerNews,
  RefusalFrame,
} from './frameTypes.js';
import {
  limitReplyFrom,
  limitReplyRow,
  limitRequestFrom,
  limitRequestRow,
} from './limitRows.js';
import type {LimitReplyRow, LimitRequestRow} from './limitRows.js';
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

/** The order of a box's statement. */
const BOX_FIELDS = [
  'box',
  'dataCentre',
  'peerAddress',
  'service',
  'slots',
  'takesWork',
  'coldUntil',
  'statedAt',
  'runs',
] as const satisfies readonly (keyof BoxRecord)[];

/** The order of what a box tells of a run. */
const RUN_FIELDS = [
  'digest',
  'at',
  'hasCrashed',
] as const satisfies readonly (keyof RunReport)[];

/** A box's statement with its runs as rows. */
type CodedBox = Omit<BoxRecord, 'runs'> & {
  readonly runs: readonly (readonly unknown[])[] | undefined;
};

/** The order of a reader's report. */
const REPORT_FIELDS = [
  'version',
  'boxesDigest',
  'isReading',
  'storeAge',
  'nextWithin',
] as const satisfies readonly (keyof ReaderReport)[];

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

type StandingRow = readonly [upstream: string, hint: HintRow];

type VersionRow = readonly [version: number, address: string];

/**
 * The first value of news that is neither a standing nor a version. No version is
 * below 0, so that a node of an earlier release passes over it.
 */
const FOLLOW = -1;
const REPORT = -2;
const BOXES = -3;
const LIMIT_REQUEST = -4;
const LIMIT_REPLY = -5;

type FollowRow = readonly [kind: typeof FOLLOW, isWanted: boolean];

type ReportRow = readonly [
  kind: typeof REPORT,
  address: string,
  report: readonly unknown[],
];

type BoxesRow = readonly [
  kind: typeof BOXES,
  boxes: readonly (readonly unknown[])[],
];

type NewsRow =
  | StandingRow
  | VersionRow
  | FollowRow
  | ReportRow
  | BoxesRow
  | readonly [kind: typeof LIMIT_REQUEST, ...row: LimitRequestRow]
  | readonly [kind: typeof LIMIT_REPLY, ...row: LimitReplyRow];

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

/** The row of a piece of news. */
export function newsRow(news: PeerNews): NewsRow {
  switch (news.kind) {
    case 'standing':
      return [news.upstream, hintRow(news.hint)];
    case 'version':
      return [news.version, news.address];
    case 'follow':
      return [FOLLOW, news.isWanted];
    case 'report':
      return [REPORT, news.address, toRow(REPORT_FIELDS, news.report)];
    case 'boxes':
      return [BOXES, news.boxes.map(boxRow)];
    case 'limit-request':
      return [LIMIT_REQUEST, ...limitRequestRow(news)];
    case 'limit-reply':
      return [LIMIT_REPLY, ...limitReplyRow(news)];
  }
}

/** What is told of an upstream begins with its name, all else with a number. */
export function newsFrom(row: NewsRow): PeerNews {
  const [first, second] = row;
  if (typeof first === 'string') {
    return {kind: 'standing', upstream: first, hint: hintOf(second as HintRow)};
  }
  switch (first) {
    case FOLLOW:
      return {kind: 'follow', isWanted: second as boolean};
    case REPORT:
      return reportFrom(row as ReportRow);
    case BOXES:
      return boxesFrom(row as BoxesRow);
    case LIMIT_REQUEST:
      return limitRequestFrom(row.slice(1) as unknown as LimitRequestRow);
    case LIMIT_REPLY:
      return limitReplyFrom(row.slice(1) as unknown as LimitReplyRow);
    default:
      return {kind: 'version', version: first, address: second as string};
  }
}

function reportFrom([, address, row]: ReportRow): PeerNews {
  const report = fromRow<ReaderReport>(REPORT_FIELDS, row);
  return {kind: 'report', address, report};
}

function boxesFrom([, rows]: BoxesRow): PeerNews {
  return {kind: 'boxes', boxes: rows.map(boxFrom)};
}

function boxRow(box: BoxRecord): readonly unknown[] {
  const runs = box.runs?.map((run) => toRow(RUN_FIELDS, run));
  return toRow<CodedBox>(BOX_FIELDS, {...box, runs});
}

function boxFrom(row: readonly unknown[]): BoxRecord {
  const {runs, ...box} = fromRow<CodedBox>(BOX_FIELDS, row);
  const reports = runs?.map((run) => fromRow<RunReport>(RUN_FIELDS, run));
  return reports === undefined ? box : {...box, runs: reports};
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
