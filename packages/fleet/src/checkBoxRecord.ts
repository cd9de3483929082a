// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Validates box records. They come from the store and from peers, and anyone
 * who can reach the store can write to it: a record dated years ahead would
 * stay the newest of its box forever.
 */

import {MAXIMUM_LIFTS, MAXIMUM_REPORTS} from '@lockpin/quarantine';
import type {Result} from '@lockpin/types';
import {failure, parseAddress, parseBoundedJson, success} from '@lockpin/utils';
import type {BoxRecord} from './boxRecord.js';
import {MAXIMUM_LEFT} from './ownUpstream.js';

/** The field of a record that is invalid, and why. */
export interface RecordProblem {
  readonly field: keyof BoxRecord | 'record';
  readonly problem: string;
}

/** Settings that records are validated against. */
export interface RecordContext {
  readonly now: number;
  /** Empty if data centres are not declared. */
  readonly dataCentres: readonly string[];
}

/** Box clocks differ by seconds, and some may be set manually. */
export const MAXIMUM_AHEAD_MILLISECONDS = 300_000;

/** Upstreams warm up within minutes, not hours. */
const MAXIMUM_COLD_MILLISECONDS = 3_600_000;

/** More concurrent calls than any upstream on one box can take. */
const MAXIMUM_SLOTS = 100_000;

/** Names of boxes, services and data centres are short. */
const MAXIMUM_NAME_LENGTH = 200;

type Fields = Readonly<Record<string, unknown>>;

type Check = (value: unknown, context: RecordContext) => string | undefined;

const CHECKS: Readonly<Record<keyof BoxRecord, Check>> = {
  box: (value) => (isName(value) ? undefined : 'must be 1 to 200 characters'),
  dataCentre: (value, {dataCentres}) =>
    isName(value) && (dataCentres.length === 0 || dataCentres.includes(value))
      ? undefined
      : 'must name a declared data centre',
  peerAddress: (value) =>
    typeof value === 'string' && parseAddress(value) !== undefined
      ? undefined
      : 'must be an ip:port address',
  service: (value) =>
    value === '' || isName(value)
      ? undefined
      : 'must be a string of at most 200 characters',
  slots: (value) =>
    Number.isSafeInteger(value) && isWithin(value, 0, MAXIMUM_SLOTS)
      ? undefined
      : `must be an integer from 0 to ${MAXIMUM_SLOTS}`,
  takesWork: (value) =>
    typeof value === 'boolean' ? undefined : 'must be true or false',
  coldUntil: (value, {now}) =>
    isWithin(value, 0, now + MAXIMUM_COLD_MILLISECONDS)
      ? undefined
      : 'must be a time at most one hour ahead',
  statedAt: (value, {now}) =>
    isWithin(value, 0, now + MAXIMUM_AHEAD_MILLISECONDS)
      ? undefined
      : 'must be a time at most five minutes ahead',
  runs: (value) =>
    value === undefined || areRunReports(value)
      ? undefined
      : 'must be a list of valid run reports',
  lifts: (value, {now}) =>
    value === undefined || areLifts(value, now)
      ? undefined
      : 'must be a list of valid quarantine lifts',
  program: (value) =>
    value === undefined || isName(value)
      ? undefined
      : 'must be a string of 1 to 200 characters',
  left: (value) =>
    value === undefined ||
    (Array.isArray(value) &&
      value.length <= MAXIMUM_LEFT &&
      value.every(isName))
      ? undefined
      : `must be a list of at most ${MAXIMUM_LEFT} names`,
};

/** Parses a stored record, or reports the first invalid field. */
export function parseBoxRecord(
  context: RecordContext,
  key: string,
  bytes: Buffer,
): Result<BoxRecord, RecordProblem> {
  const value = parse(bytes);
  const checked = checkBoxRecord(context, value);
  return checked.ok && checked.value.box !== key
    ? failure({field: 'box', problem: 'does not match the record key'})
    : checked;
}

/**
 * Validates a decoded value as a record, or reports the first invalid field.
 */
export function checkBoxRecord(
  context: RecordContext,
  value: unknown,
): Result<BoxRecord, RecordProblem> {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return failure({field: 'record', problem: 'must be a JSON object'});
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
    return parseBoundedJson(bytes);
  } catch (error) {
    // Deeply nested brackets cause a RangeError.
    if (error instanceof SyntaxError || error instanceof RangeError) {
      return undefined;
    }
    throw error;
  }
}

function isName(value: unknown): value is string {
  return (
    typeof value === 'string' &&
    value !== '' &&
    value.length <= MAXIMUM_NAME_LENGTH
  );
}

function isWithin(value: unknown, minimum: number, maximum: number): boolean {
  return typeof value === 'number' && value >= minimum && value <= maximum;
}

function areRunReports(value: unknown): boolean {
  return (
    Array.isArray(value) &&
    value.length <= MAXIMUM_REPORTS &&
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
    value.length <= MAXIMUM_LIFTS &&
    value.every((lift) => isLift(lift, now))
  );
}

function isLift(value: unknown, now: number): boolean {
  if (typeof value !== 'object' || value === null) {
    return false;
  }
  const {digest, at} = value as Fields;
  return isName(digest) && isWithin(at, 0, now + MAXIMUM_AHEAD_MILLISECONDS);
}
