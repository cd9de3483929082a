// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Messages between guards and the permit holder of a service. */

import type {PeerBaseline, PeerSummary} from '@lockpin/detection';
import type {StreamPosition} from '@lockpin/types';

/**
 * Fencing token: the log position of the record that made a box the permit
 * holder. Later positions win; a later era of the log, which begins with each
 * restore, wins over earlier eras whatever their offsets.
 */
export type Fence = StreamPosition;

/** Earlier than any other fence: no permit holder is known. */
export const NO_FENCE: Fence = {era: 0, offset: -1};

/** Fence of the first record of a log that was never restored. */
export const FIRST_FENCE: Fence = {era: 0, offset: 0};

/** The report of a guard on one upstream. */
export interface GuardReport {
  readonly upstream: string;
  readonly box: string;
  readonly incarnation: string;
  /** Increases with every report of this incarnation. */
  readonly sequence: number;
  /** The latest fence known; permits with earlier ones are not accepted. */
  readonly fence: Fence;
  readonly state:
    'in-service' | 'condemned' | 'ejected' | 'probation' | 'draining';
  readonly suspect: boolean;
  readonly severity: number;
  /**
   * Slots that the limit stated by the upstream lets it use; absent without a
   * limit.
   */
  readonly usableSlots?: number;
  /** Number of the current permit request; lower ones have been returned. */
  readonly request: number;
  readonly summary: PeerSummary;
}

/** Why a permit is denied. */
export type DenialReason =
  'floor' | 'shared-cause' | 'settling' | 'fence-unknown' | 'not-registered';

/** The holder's answer to a report. */
export interface HolderReply {
  readonly upstream: string;
  readonly fence: Fence;
  readonly decision:
    | {readonly kind: 'none'}
    | {readonly kind: 'granted'; readonly request: number}
    | {readonly kind: 'denied'; readonly reason: DenialReason}
    | {readonly kind: 'revoked'; readonly request: number};
  readonly baseline: PeerBaseline;
}

/** A record of the holders stream, naming the permit holder of a service. */
export interface HolderRecord {
  readonly kind: 'holder';
  readonly service: string;
  readonly box: string;
  readonly incarnation: string;
}
