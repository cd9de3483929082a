// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What each box says of itself to the others. */

import {areSameLifts, areSameReports} from '@lockpin/quarantine';
import type {QuarantineLift, RunReport} from '@lockpin/quarantine';

/** One box with the upstream that it guards. The newest statement counts. */
export interface BoxRecord {
  readonly box: string;
  readonly dataCentre: string;
  /** Where the node of the box takes calls from other nodes. */
  readonly peerAddress: string;
  /** The service of its upstream; empty before the upstream has announced itself. */
  readonly service: string;
  readonly slots: number;
  /** False from when its upstream said that it drains or leaves. */
  readonly takesWork: boolean;
  /** The upstream answers slowly until then, in milliseconds since 1970. */
  readonly coldUntil: number;
  /** When the box said so, in milliseconds since 1970; rises with each statement. */
  readonly statedAt: number;
  /** Runs of suspect requests; absent where there are none to tell of. */
  readonly runs?: readonly RunReport[];
  /** Quarantines that operators have lifted at this box; absent where there are none. */
  readonly lifts?: readonly QuarantineLift[];
  /** Version of its upstream's program; absent where upstreams do not tell it. */
  readonly program?: string;
}

/** Whether a record holds more than its box, on which a promise may hang. */
export function tellsOfRuns({runs, lifts}: BoxRecord): boolean {
  return runs !== undefined || lifts !== undefined;
}

/**
 * A box that has not renewed its record for this long is forgotten. Boxes are
 * replaced for good several times a day in a large fleet.
 */
export const RECORD_LIFE_MILLISECONDS = 900_000;

/** A record is renewed at this age, so that two renewals may fail. */
export const RECORD_RENEWAL_MILLISECONDS = 300_000;

/** Whether two records say the same, whenever they were stated. */
export function isSameStatement(a: BoxRecord, b: BoxRecord): boolean {
  return (
    a.box === b.box &&
    a.dataCentre === b.dataCentre &&
    a.peerAddress === b.peerAddress &&
    a.service === b.service &&
    a.slots === b.slots &&
    a.takesWork === b.takesWork &&
    a.program === b.program &&
    areSameReports(a.runs ?? [], b.runs ?? []) &&
    areSameLifts(a.lifts ?? [], b.lifts ?? [])
  );
}

/** The stored form of a record. */
export function writeBoxRecord(record: BoxRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}
