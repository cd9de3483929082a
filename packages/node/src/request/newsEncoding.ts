// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Positional encoding of news between nodes; see frameEncoding. */

import type {BoxRecord, ReaderReport} from '@lockpin/fleet';
import type {QuarantineLift, RunReport} from '@lockpin/quarantine';
import type {Era} from '@lockpin/types';
import type {PeerNews} from './frameTypes.js';
import {
  decodeLimitReply,
  encodeLimitReply,
  decodeLimitRequest,
  encodeLimitRequest,
} from './limitEncoding.js';
import type {LimitReplyRow, LimitRequestRow} from './limitEncoding.js';
import {decodeRow, encodeRow} from './rowEncoding.js';
import {decodeLoadHint, encodeLoadHint} from './wireCodes.js';
import type {HintRow} from './wireCodes.js';

/** The field order of a box record. */
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
  'lifts',
  'program',
  'left',
] as const satisfies readonly (keyof BoxRecord)[];

/** The field order of a run report. */
const RUN_FIELDS = [
  'digest',
  'at',
  'hasCrashed',
  'program',
] as const satisfies readonly (keyof RunReport)[];

/** The field order of a lifted quarantine. */
const LIFT_FIELDS = [
  'digest',
  'at',
] as const satisfies readonly (keyof QuarantineLift)[];

type Rows = readonly (readonly unknown[])[];

/** A box record with its runs and lifts as rows. */
type CodedBox = Omit<BoxRecord, 'runs' | 'lifts'> & {
  readonly runs: Rows | undefined;
  readonly lifts: Rows | undefined;
};

/** The field order of a reader report. */
const REPORT_FIELDS = [
  'version',
  'boxesDigest',
  'isReading',
  'storeAge',
  'nextWithin',
] as const satisfies readonly (keyof ReaderReport)[];

type StandingRow = readonly [upstream: string, hint: HintRow];

type VersionRow = readonly [version: number, address: string];

/**
 * Kind codes: the first value of news other than standings and versions. They
 * are negative, and versions are not, so that nodes of earlier releases, which
 * read them as versions, ignore them.
 */
const FOLLOW = -1;
const REPORT = -2;
const BOXES = -3;
const LIMIT_REQUEST = -4;
const LIMIT_REPLY = -5;
const RECORDS_LOST = -6;
const STORE_RESTORED = -7;
const VERSION_REQUEST = -8;

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

type RecordsLostRow = readonly [
  kind: typeof RECORDS_LOST,
  era: Era,
  boxes: readonly string[],
];

/**
 * The address comes first: a node of an earlier release that has just started
 * queries whatever address it finds there.
 */
type VersionRequestRow = readonly [
  kind: typeof VERSION_REQUEST,
  address: string,
  clock: number,
];

type StoreRestoredRow = readonly [kind: typeof STORE_RESTORED, era: Era];

/** News as encoded between nodes. */
export type NewsRow =
  | StandingRow
  | VersionRow
  | FollowRow
  | ReportRow
  | BoxesRow
  | RecordsLostRow
  | StoreRestoredRow
  | VersionRequestRow
  | readonly [kind: typeof LIMIT_REQUEST, ...row: LimitRequestRow]
  | readonly [kind: typeof LIMIT_REPLY, ...row: LimitReplyRow];

/** Encodes news as a row. */
export function encodeNews(news: PeerNews): NewsRow {
  switch (news.kind) {
    case 'standing':
      return [news.upstream, encodeLoadHint(news.hint)];
    case 'version':
      return [news.version, news.address];
    case 'follow':
      return [FOLLOW, news.isWanted];
    case 'version-request':
      return [VERSION_REQUEST, news.address, Math.round(news.clock)];
    case 'report':
      return [REPORT, news.address, encodeRow(REPORT_FIELDS, news.report)];
    case 'boxes':
      return [BOXES, news.boxes.map(encodeBox)];
    case 'records-lost':
      return [RECORDS_LOST, news.era, news.boxes];
    case 'store-restored':
      return [STORE_RESTORED, news.era];
    case 'limit-request':
      return [LIMIT_REQUEST, ...encodeLimitRequest(news)];
    case 'limit-reply':
      return [LIMIT_REPLY, ...encodeLimitReply(news)];
  }
}

/**
 * Decodes news: a standing begins with an upstream's name, others with a
 * number.
 */
export function decodeNews(row: NewsRow): PeerNews {
  const [first, second] = row;
  if (typeof first === 'string') {
    return {
      kind: 'standing',
      upstream: first,
      hint: decodeLoadHint(second as HintRow),
    };
  }
  switch (first) {
    case FOLLOW:
      return {kind: 'follow', isWanted: second as boolean};
    case VERSION_REQUEST:
      return decodeVersionRequest(row as VersionRequestRow);
    case REPORT:
      return decodeReport(row as ReportRow);
    case BOXES:
      return decodeBoxes(row as BoxesRow);
    case RECORDS_LOST:
      return decodeRecordsLost(row as RecordsLostRow);
    case STORE_RESTORED:
      return {kind: 'store-restored', era: second as Era};
    case LIMIT_REQUEST:
      return decodeLimitRequest(row.slice(1) as unknown as LimitRequestRow);
    case LIMIT_REPLY:
      return decodeLimitReply(row.slice(1) as unknown as LimitReplyRow);
    default:
      return {kind: 'version', version: first, address: second as string};
  }
}

function decodeVersionRequest([, address, clock]: VersionRequestRow): PeerNews {
  return {kind: 'version-request', address, clock};
}

function decodeReport([, address, row]: ReportRow): PeerNews {
  const report = decodeRow<ReaderReport>(REPORT_FIELDS, row);
  return {kind: 'report', address, report};
}

function decodeBoxes([, rows]: BoxesRow): PeerNews {
  return {kind: 'boxes', boxes: rows.map(decodeBox)};
}

function decodeRecordsLost([, era, boxes]: RecordsLostRow): PeerNews {
  return {kind: 'records-lost', era, boxes};
}

function encodeBox(box: BoxRecord): readonly unknown[] {
  const runs = box.runs?.map((run) => encodeRow(RUN_FIELDS, run));
  const lifts = box.lifts?.map((lift) => encodeRow(LIFT_FIELDS, lift));
  return encodeRow<CodedBox>(BOX_FIELDS, {...box, runs, lifts});
}

function decodeBox(row: readonly unknown[]): BoxRecord {
  const {runs, lifts, ...box} = decodeRow<CodedBox>(BOX_FIELDS, row);
  return {
    ...box,
    runs: runs?.map((run) => decodeRow<RunReport>(RUN_FIELDS, run)),
    lifts: lifts?.map((lift) => decodeRow<QuarantineLift>(LIFT_FIELDS, lift)),
  };
}
