// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The small messages that nodes exchange over UDP. */

import type {Era, HybridTime, StreamPosition} from '@lockpin/types';
import type {Member} from './member.js';

/** What every datagram carries besides its purpose. */
export interface DatagramHeader {
  readonly from: Member;
  /** News of members, a few at a time. */
  readonly news: readonly Member[];
  /** Version in force at the sender, and the digest of its state. */
  readonly version: number;
  readonly digest: string;
  /** Era of the log that the sender's state was folded from. */
  readonly era: Era;
  /** How far the sender knows the holders stream. */
  readonly holders: StreamPosition;
  readonly time: HybridTime;
}

/** A datagram without its header. */
export type DatagramBody =
  | {readonly kind: 'ping'; readonly sequence: number}
  | {readonly kind: 'ack'; readonly sequence: number}
  /** Asks a third node to ping a target that did not answer. */
  | {
      readonly kind: 'ping-request';
      readonly sequence: number;
      readonly target: string;
    }
  /** Tells that the sender has folded new records. */
  | {readonly kind: 'version-news'}
  /** Tells a watching node which version the sender has in force. */
  | {readonly kind: 'in-force'};

/** A whole datagram. */
export type Datagram = DatagramHeader & DatagramBody;

/** Members told of in one datagram, so that it fits one packet. */
export const NEWS_PER_DATAGRAM = 4;
