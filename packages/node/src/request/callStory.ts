// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What is kept of a call's course, for one log line at its end. */

import type {Attempt, OfferTerms} from '@lockpin/brain';
import type {AnnouncedState} from '@lockpin/routing';

/** One offer of a call to a guard. */
export interface AttemptRecord {
  readonly box: string;
  readonly terms: OfferTerms;
  /** Since the call arrived, in milliseconds. */
  readonly offeredAt: number;
  /** What the entry knew of the upstream when it chose it. */
  readonly knownState: AnnouncedState | 'unknown';
  /** How old that knowledge was, in milliseconds. */
  readonly knownAge: number;
  /** How it ended: a status, or the reason of a refusal. */
  readonly end: string;
  /** Since the call arrived, in milliseconds. */
  readonly endedAt: number;
}

/** A call from its arrival to its end at the entry. */
export interface CallRecord {
  readonly requestId: string;
  /** The same for requests that an upstream cannot tell apart; see digestOf. */
  readonly requestDigest: string;
  readonly service: string;
  readonly route: string;
  /** Version of the configuration that it was served under. */
  readonly version: number;
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'caller-left';
  readonly reason: string;
  /** The status that the caller got; 0 when it got none. */
  readonly status: number;
  readonly milliseconds: number;
  readonly attempts: readonly AttemptRecord[];
}

/** Attempts kept of one call; the last ones tell most. */
const MOST_ATTEMPTS = 12;

/** Gathers the attempts of one call. */
export class CallStory {
  private readonly records: AttemptRecord[] = [];
  private open: Omit<AttemptRecord, 'end' | 'endedAt'> | undefined;

  /** An offer goes out. */
  offered(
    now: number,
    attempt: Attempt,
    known: {readonly state: AnnouncedState; readonly age: number} | undefined,
  ): void {
    this.open = {
      box: attempt.box,
      terms: attempt.terms,
      offeredAt: Math.round(now),
      knownState: known?.state ?? 'unknown',
      knownAge: Math.round(known?.age ?? 0),
    };
  }

  /** The offer under way ended. */
  ended(now: number, end: string): void {
    if (this.open === undefined) {
      return;
    }
    this.records.push({...this.open, end, endedAt: Math.round(now)});
    this.open = undefined;
    if (this.records.length > MOST_ATTEMPTS) {
      this.records.shift();
    }
  }

  get attempts(): readonly AttemptRecord[] {
    return this.records;
  }
}
