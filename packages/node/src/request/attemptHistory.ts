// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The attempts of a call, collected for the log record at its end. */

import type {Attempt, OfferTerms, UnusedUpstreams} from '@lockpin/brain';
import type {AnnouncedState} from '@lockpin/routing';

/** Knowledge that an offer was planned by, from whichever box it came. */
export interface KnownCapacity {
  /** Calls running and queued, with this offer. */
  readonly occupied: number;
  readonly limit: number;
  /** Expected wait for a slot in milliseconds. */
  readonly slotIn: number;
  readonly retriesLeft: number | undefined;
  /** Its age in milliseconds. */
  readonly age: number;
}

/** One offer of a call to a guard. */
export interface AttemptRecord {
  readonly box: string;
  readonly terms: OfferTerms;
  /** Since the call arrived, in milliseconds. */
  readonly offeredAt: number;
  /** The upstream's state as the entry knew it at selection. */
  readonly knownState: AnnouncedState | 'unknown';
  /** Age of that state in milliseconds. */
  readonly knownAge: number;
  /** What was known of its capacity; absent unless offers are planned by it. */
  readonly knownCapacity?: KnownCapacity | undefined;
  /** The result: an HTTP status, or the reason of a refusal. */
  readonly end: string;
  /** Since the call arrived, in milliseconds. */
  readonly endedAt: number;
}

/** What a nested call has from the call that made it. */
export interface NestedCallRecord {
  /** Id of the request that the upstream was running. */
  readonly parent: string;
  /** Inherited from the root; 0 is the most urgent. */
  readonly priority: number;
}

/** The log record of a call, from its arrival to its end at the entry. */
export interface CallRecord {
  readonly requestId: string;
  /** Equal for requests that an upstream cannot distinguish. */
  readonly requestDigest: string;
  readonly service: string;
  readonly route: string;
  /** The configuration version that the call was served under. */
  readonly version: number;
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'caller-left';
  readonly reason: string;
  /** The HTTP status sent to the caller; 0 when none was sent. */
  readonly status: number;
  readonly milliseconds: number;
  readonly attempts: readonly AttemptRecord[];
  /**
   * For a call that was not answered: upstreams of its service that the entry
   * did not use at its end.
   */
  readonly unusedUpstreams?: UnusedUpstreams | undefined;
  /** The retry-after time of a refusal, if it has one. */
  readonly retryAfterMilliseconds?: number | undefined;
  /** Set if an upstream of this box made the call while it ran another. */
  readonly nested?: NestedCallRecord | undefined;
}

/**
 * Attempts kept per call; the oldest are dropped, as the last ones tell most.
 */
const ATTEMPT_HISTORY_LIMIT = 12;

/** Collects the attempts of one call. */
export class AttemptHistory {
  private readonly records: AttemptRecord[] = [];
  private current: Omit<AttemptRecord, 'end' | 'endedAt'> | undefined;

  /** Records that an offer was sent. */
  recordOffer(
    now: number,
    attempt: Attempt,
    known: {readonly state: AnnouncedState; readonly age: number} | undefined,
    knownCapacity: KnownCapacity | undefined,
  ): void {
    this.current = {
      box: attempt.box,
      terms: attempt.terms,
      offeredAt: Math.round(now),
      knownState: known?.state ?? 'unknown',
      knownAge: Math.round(known?.age ?? 0),
      knownCapacity,
    };
  }

  /** Records the result of the current offer. */
  recordEnd(now: number, end: string): void {
    if (this.current === undefined) {
      return;
    }
    this.records.push({...this.current, end, endedAt: Math.round(now)});
    this.current = undefined;
    if (this.records.length > ATTEMPT_HISTORY_LIMIT) {
      this.records.shift();
    }
  }

  get attempts(): readonly AttemptRecord[] {
    return this.records;
  }
}
