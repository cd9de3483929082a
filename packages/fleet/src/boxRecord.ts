// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The record that each box publishes about itself. */

import {areSameLifts, areSameReports} from '@lockpin/quarantine';
import type {QuarantineLift, RunReport} from '@lockpin/quarantine';

/**
 * A box and the upstream it guards. The record with the highest statedAt wins.
 */
export interface BoxRecord {
  readonly box: string;
  readonly dataCentre: string;
  /** Where the box's node accepts calls from other nodes. */
  readonly peerAddress: string;
  /** Service of the upstream; empty before its first announcement. */
  readonly service: string;
  readonly slots: number;
  /** False once the upstream has announced that it drains or leaves. */
  readonly takesWork: boolean;
  /**
   * The upstream answers slowly until this time, in milliseconds since 1970.
   */
  readonly coldUntil: number;
  /**
   * When the record was made, in milliseconds since 1970; rises with each
   * version.
   */
  readonly statedAt: number;
  /** Runs of suspect requests; absent if there are none. */
  readonly runs?: readonly RunReport[];
  /**
   * Quarantines that operators lifted at this box; absent if there are none.
   */
  readonly lifts?: readonly QuarantineLift[];
  /**
   * Program version of the upstream; absent if upstreams do not announce it.
   */
  readonly program?: string;
  /**
   * The last processes of the upstream that have left, oldest first: a late
   * announcement must not revive one after the node was restarted. Absent if
   * none has.
   */
  readonly left?: readonly string[];
}

/**
 * Whether a record holds run reports or lifts, which quarantine decisions rely
 * on.
 */
export function hasQuarantineData({runs, lifts}: BoxRecord): boolean {
  return runs !== undefined || lifts !== undefined;
}

/**
 * A box that has not renewed its record for this long is expired. In a large
 * fleet boxes are replaced permanently several times a day.
 */
export const RECORD_EXPIRY_MILLISECONDS = 900_000;

/** Records are renewed at this age, so that two renewals in a row may fail. */
export const RECORD_RENEWAL_MILLISECONDS = 300_000;

/** Whether two records have the same content, apart from their times. */
export function hasSameContent(a: BoxRecord, b: BoxRecord): boolean {
  return (
    a.box === b.box &&
    a.dataCentre === b.dataCentre &&
    a.peerAddress === b.peerAddress &&
    a.service === b.service &&
    a.slots === b.slots &&
    a.takesWork === b.takesWork &&
    a.program === b.program &&
    hasSameNames(a.left ?? [], b.left ?? []) &&
    areSameReports(a.runs ?? [], b.runs ?? []) &&
    areSameLifts(a.lifts ?? [], b.lifts ?? [])
  );
}

function hasSameNames(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((name, i) => name === b[i]);
}

/** Encodes a record for the store. */
export function serializeBoxRecord(record: BoxRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}
