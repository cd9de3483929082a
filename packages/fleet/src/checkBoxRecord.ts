// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Whether what is found among the records of boxes is one. Records come from the store
 * and from peers, and anybody who reaches the store can write there: one with a time
 * years ahead would be the newest statement of its box for good.
 */

import {MOST_LIFTS, MOST_REPORTS} from '@lockpin/quarantine';
import type {Result} from '@lockpin/types';
import {failure, parseAddress, success} from '@lockpin/utils';
import type {BoxRecord} from './boxRecord.js';

/** What is wrong with a record. */
export interface RecordProblem {
  readonly field: keyof BoxRecord | 'record';
  readonly problem: string;
}

/** What a record is checked against. */
export interface RecordContext {
  readonly now: number;
  /** Empty where they are not declared. */
  readonly dataCentres: readonly string[];
}

/** Clocks of boxes differ by seconds, and may be set by some. */
export const MOST_AHEAD_MILLISECONDS = 300_000;

/** An upstream warms up within minutes, not for hours. */
const LONGEST_COLD_MILLISECONDS = 3_600_000;

/** More calls at once than any upstream of a box takes. */
const MOST_SLOTS = 100_000;

/** Names of boxes, services and data centres are short. */
const LONGEST_NAME = 200;

type Fields = Readonly<Record<string, unknown>>;

type Check = (value: unknown, context: RecordContext) => string | undefined;

const CHECKS: Readonly<Record<keyof BoxRecord, Check>> = {
  box: (value) => (isName(value) ? undefined : 'give a name'),
  dataCentre: (value, {dataCentres}) =>
    isName(value) && (dataCentres.length === 0 || dataCentres.includes(value))
      ? undefined
      : 'is not declared',
  peerAddress: (value) =>
    typeof value === 'string' && parseAddress(value) !== undefined
      ? undefined
      : 'give an address',
  service: (value) =>
    value === '' || isName(value) ? undefined : 'give a name',
  slots: (value) =>
    Number.isSafeInteger(value) && isWithin(value, 0, MOST_SLOTS)
      ? undefined
      : `give a whole number up to ${MOST_SLOTS}`,
  takesWork: (value) =>
    typeof value === 'boolean' ? undefined : 'give true or false',
  coldUntil: (value, {now}) =>
    isWithin(value, 0, now + LONGEST_COLD_MILLISECONDS)
      ? undefined
      : 'give a time within the next hour',
  statedAt: (value, {now}) =>
    isWithin(value, 0, now + MOST_AHEAD_MILLISECONDS)
      ? undefined
      : 'give a time that is not ahead',
  runs: (value) =>
    value === undefined || areRunReports(value)
      ? undefined
      : 'give a list of reports',
  lifts: (value, {now}) =>
    value === undefined || areLifts(value, now)
      ? undefined
      : 'give a list of lifts',
  program: (value) =>
    value === undefined || isName(value) ? undefined : 'give a version',
};

/** Reads a stored record, or says which of its fields is wrong. */
export function readBoxRecord(
  context: RecordContext,
  key: string,
  bytes: Buffer,
): Result<BoxRecord, RecordProblem> {
  const value = parse(bytes);
  const checked = checkBoxRecord(context, value);
  return checked.ok && checked.value.box !== key
    ? failure({field: 'box', problem: 'is not the one of the key'})
    : checked;
}

/** The value as a record, or which of its fields is wrong. */
export function checkBoxRecord(
  context: RecordContext,
  value: unknown,
): Result<BoxRecord, RecordProblem> {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return failure({field: 'record', problem: 'is no table'});
  }
  const record = value as BoxRecord;
  for (const field of Object.keys(CHECKS) as (keyof BoxRecord)[]) {
    const problem = CHECKS[field](record[field], context);
    if (problem !== undefined) {
      return failure({field, problem});
    }
  }
  return success(record);
}

function parse(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8'));
  } catch (error) {
    // Very many brackets end in a RangeError.
    if (error instanceof SyntaxError || error instanceof RangeError) {
      return undefined;
    }
    throw error;
  }
}

function isName(value: unknown): value is string {
  return (
    typeof value === 'string' && value !== '' && value.length <= LONGEST_NAME
  );
}

function isWithin(value: unknown, least: number, most: number): boolean {
  return typeof value === 'number' && value >= least && value <= most;
}

function areRunReports(value: unknown): boolean {
  return (
    Array.isArray(value) &&
    value.length <= MOST_REPORTS &&
    value.every(isRunReport)
  );
}

function isRunReport(value: unknown): boolean {
  if (typeof value !== 'object' || value === null) {
    return false;
  }
  const {digest, at, hasCrashed, program} = value as Fields;
  return (
    isName(digest) &&
    Number.isFinite(at) &&
    typeof hasCrashed === 'boolean' &&
    (program === undefined || isName(program))
  );
}

function areLifts(value: unknown, now: number): boolean {
  return (
    Array.isArray(value) &&
    value.length <= MOST_LIFTS &&
    value.every((lift) => isLift(lift, now))
  );
}

function isLift(value: unknown, now: number): boolean {
  if (typeof value !== 'object' || value === null) {
    return false;
  }
  const {digest, at} = value as Fields;
  return isName(digest) && isWithin(at, 0, now + MOST_AHEAD_MILLISECONDS);
}
