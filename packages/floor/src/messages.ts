// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What guards and the holder of a service's permits tell each other. */

import type {PeerBaseline, PeerSummary} from '@lockpin/detection';
import type {StreamPosition} from '@lockpin/types';

/**
 * Where the record stands by which someone holds the permits of a service. Later ones win,
 * also over those of an era of the log that a restore has ended, whatever their offsets.
 */
export type Fence = StreamPosition;

/** Earlier than any: nobody is known to hold the permits. */
export const NO_FENCE: Fence = {era: 0, offset: -1};

/** The one of the first record of a log that was never restored. */
export const FIRST_FENCE: Fence = {era: 0, offset: 0};

/** A guard's report on one upstream. */
export interface GuardReport {
  readonly upstream: string;
  readonly box: string;
  readonly incarnation: string;
  /** Rises with every report of this incarnation. */
  readonly sequence: number;
  /** The latest fence the guard knows; it takes no permit of an earlier one. */
  readonly fence: Fence;
  readonly state:
    'in-service' | 'condemned' | 'ejected' | 'probation' | 'draining';
  readonly suspect: boolean;
  readonly severity: number;
  /** Number of the guard's present request; lower ones are given back. */
  readonly request: number;
  readonly summary: PeerSummary;
}

/** Why a permit is not given. */
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

/** A record of the holders stream: who gives the permits of a service. */
export interface HolderRecord {
  readonly kind: 'holder';
  readonly service: string;
  readonly box: string;
  readonly incarnation: string;
}
