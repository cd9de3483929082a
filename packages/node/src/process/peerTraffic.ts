// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Counts the bytes that a node exchanges with other nodes, by what they are for.
 * Bytes between data centres are paid for. The entry's end of each stream counts
 * both directions, so that the sum over all nodes has every frame once. Headers of
 * the layers below are not seen here.
 */

import type {OnFrameBytes} from '../request/frameBatch.js';
import type {Frame} from '../request/frames.js';
import type {NodeMetrics} from './metrics.js';

/** What bytes between nodes are for. */
export type PeerBytesPurpose =
  'offers' | 'offer-replies' | 'requests' | 'answers' | 'news';

/** Where the other end is. */
export type PeerPlace = 'same-data-centre' | 'other-data-centre';

const PURPOSE: Readonly<Record<Frame['kind'], PeerBytesPurpose>> = {
  call: 'offers',
  cancel: 'offers',
  refusal: 'offer-replies',
  continue: 'offer-replies',
  queued: 'offer-replies',
  go: 'requests',
  answer: 'answers',
  chunk: 'answers',
  end: 'answers',
  lost: 'answers',
  credit: 'answers',
  news: 'news',
};

type PurposeBytes = Record<PeerBytesPurpose, number>;

function noBytes(): PurposeBytes {
  return {offers: 0, 'offer-replies': 0, requests: 0, answers: 0, news: 0};
}

/** Sums up the bytes of all streams, for the metrics and for the log. */
export class PeerTraffic {
  private readonly sums: Readonly<Record<PeerPlace, PurposeBytes>> = {
    'same-data-centre': noBytes(),
    'other-data-centre': noBytes(),
  };

  constructor(private readonly metrics: Pick<NodeMetrics, 'count'>) {}

  /** Makes what counts the bytes of a stream to a place. */
  counter(place: PeerPlace): OnFrameBytes {
    return (kind, bytes) => {
      const purpose = PURPOSE[kind];
      this.sums[place][purpose] += bytes;
      this.metrics.count('peer.bytes', bytes, {purpose, place});
    };
  }

  /** Bytes to and from other data centres since the process began. */
  get betweenDataCentres(): Readonly<PurposeBytes> {
    return this.sums['other-data-centre'];
  }
}
