// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Positional encoding of limit messages; see frameEncoding. */

import type {
  Draw,
  Grant,
  LimitReply,
  LimitRequest,
  Loan,
  PoolTimestamp,
} from '@lockpin/limits';
import {decodeRow, encodeRow} from './rowEncoding.js';

const MOMENT_FIELDS = [
  'process',
  'at',
] as const satisfies readonly (keyof PoolTimestamp)[];

const LOAN_FIELDS = [
  'since',
  'boxes',
  'poolsDigest',
  'pools',
] as const satisfies readonly (keyof Loan)[];

const DRAW_FIELDS = [
  'customer',
  'held',
  'waiting',
  'stock',
  'returned',
] as const satisfies readonly (keyof Draw)[];

const GRANT_FIELDS = [
  'customer',
  'tokens',
  'retryAfterMilliseconds',
] as const satisfies readonly (keyof Grant)[];

type Row = readonly unknown[];

/** The row of a limit request, without its kind. */
export type LimitRequestRow = readonly [
  box: string,
  loan: Row | null,
  draws: readonly Row[],
];

/** The row of a limit reply, without its kind. */
export type LimitReplyRow = readonly [
  box: string,
  moment: Row,
  poolsDigest: number,
  lacksPools: boolean,
  grants: readonly Row[],
];

/** Encodes a limit request as a row. */
export function encodeLimitRequest({
  box,
  loan,
  draws,
}: LimitRequest): LimitRequestRow {
  const loanRow =
    loan === undefined
      ? null
      : encodeRow(LOAN_FIELDS, {
          ...loan,
          since: encodeRow(MOMENT_FIELDS, loan.since),
        });
  return [box, loanRow, draws.map((draw) => encodeRow(DRAW_FIELDS, draw))];
}

/** Decodes a limit request from its row. */
export function decodeLimitRequest([
  box,
  loanRow,
  draws,
]: LimitRequestRow): LimitRequest {
  return {
    kind: 'limit-request',
    box,
    loan: loanRow === null ? undefined : decodeLoan(loanRow),
    draws: draws.map((row) => decodeRow<Draw>(DRAW_FIELDS, row)),
  };
}

function decodeLoan(row: Row): Loan {
  const coded = decodeRow<Omit<Loan, 'since'> & {readonly since: Row}>(
    LOAN_FIELDS,
    row,
  );
  return {
    ...coded,
    since: decodeRow<PoolTimestamp>(MOMENT_FIELDS, coded.since),
  };
}

/** Encodes a limit reply as a row. */
export function encodeLimitReply({
  box,
  moment,
  poolsDigest,
  lacksPools,
  grants,
}: LimitReply): LimitReplyRow {
  return [
    box,
    encodeRow(MOMENT_FIELDS, moment),
    poolsDigest,
    lacksPools,
    grants.map((grant) => encodeRow(GRANT_FIELDS, grant)),
  ];
}

/** Decodes a limit reply from its row. */
export function decodeLimitReply([
  box,
  moment,
  poolsDigest,
  lacksPools,
  grants,
]: LimitReplyRow): LimitReply {
  return {
    kind: 'limit-reply',
    box,
    moment: decodeRow<PoolTimestamp>(MOMENT_FIELDS, moment),
    poolsDigest,
    lacksPools,
    grants: grants.map((row) => decodeRow<Grant>(GRANT_FIELDS, row)),
  };
}
