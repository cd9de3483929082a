// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Datagrams that nodes exchange over UDP. */

import type {Era, HybridTime, StreamPosition} from '@lockpin/types';
import type {Member} from './member.js';

/** The fields that all datagrams have in common. */
export interface DatagramHeader {
  readonly from: Member;
  /** Updates of members, a bounded number per datagram. */
  readonly news: readonly Member[];
  /** Version in force at the sender, and the digest of its state. */
  readonly version: number;
  readonly digest: string;
  /** Era of the log that the sender's state was folded from. */
  readonly era: Era;
  /** Position up to which the sender knows the holders stream. */
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
  /** Announces that the sender has folded new records. */
  | {readonly kind: 'version-news'}
  /** Tells a watching node which version the sender has in force. */
  | {readonly kind: 'in-force'};

/** A datagram with its header. */
export type Datagram = DatagramHeader & DatagramBody;

/** Member updates per datagram, limited so that it fits one packet. */
export const UPDATES_PER_DATAGRAM = 4;
