// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Counts the bytes that a node exchanges with other nodes, by purpose. Traffic
 * between data centres is paid for. The entry's end of each stream counts both
 * directions, so that the sum over all nodes includes every frame once. Headers
 * of lower layers are not included.
 */

import type {OnFrameBytes} from '../request/frameBatch.js';
import type {Frame} from '../request/frames.js';
import type {NodeMetrics} from './metrics.js';

/** Purpose of traffic between nodes. */
export type PeerBytesPurpose =
  'offers' | 'offer-replies' | 'requests' | 'answers' | 'news';

/** Location of the other end of a stream. */
export type PeerPlace = 'same-data-centre' | 'other-data-centre';

const PURPOSE_BY_KIND: Readonly<Record<Frame['kind'], PeerBytesPurpose>> = {
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

function createByteCounts(): PurposeBytes {
  return {offers: 0, 'offer-replies': 0, requests: 0, answers: 0, news: 0};
}

/** Totals the bytes of all streams for the metrics and the log. */
export class PeerTraffic {
  private readonly totals: Readonly<Record<PeerPlace, PurposeBytes>> = {
    'same-data-centre': createByteCounts(),
    'other-data-centre': createByteCounts(),
  };

  constructor(private readonly metrics: Pick<NodeMetrics, 'count'>) {}

  /** Creates the byte counter of a stream. */
  counter(place: PeerPlace): OnFrameBytes {
    return (kind, bytes) => {
      const purpose = PURPOSE_BY_KIND[kind];
      this.totals[place][purpose] += bytes;
      this.metrics.count('peer.bytes', bytes, {purpose, place});
    };
  }

  /** Bytes to and from other data centres since the start of the process. */
  get betweenDataCentres(): Readonly<PurposeBytes> {
    return this.totals['other-data-centre'];
  }
}
