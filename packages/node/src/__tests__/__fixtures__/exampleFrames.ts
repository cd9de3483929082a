// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Frames of all kinds of offers, refusals and news. */

import type {CallHead, Frame} from '../../request/frames.js';

/** The head of an offer. */
export const EXAMPLE_HEAD: CallHead = {
  requestId: '9c41d07be2a35f68',
  service: 'claims',
  upstream: 'claims/box-in-centre-a-11',
  customer: 'claims',
  weight: 1,
  route: 'r-s989anu',
  repetition: 'at-most-once',
  priority: 1,
  remaining: 4998,
  attempt: 1,
  retryShare: 0.1,
  mayBeRepeat: false,
  onceKey: undefined,
  requestDigest: '',
  method: '',
  path: '',
  headers: [],
  body: undefined,
  hasMore: false,
  needsGo: true,
  terms: 'may-be-late',
  usefulFor: undefined,
  startWithin: 2250,
  expectedMilliseconds: undefined,
  knownNotice: undefined,
  isNested: false,
};

/** The first is an offer, the second its refusal. */
export const EXAMPLE_FRAMES: readonly Frame[] = [
  {kind: 'call', head: EXAMPLE_HEAD},
  {
    kind: 'refusal',
    refusal: {
      refusal: {
        reason: 'deadline-too-short',
        outcome: 'not-run',
        retryAfterMilliseconds: 120,
      },
      upstream: 'claims/box-in-centre-a-11',
      hint: {
        state: 'doubted',
        occupied: 3,
        limit: 5,
        doubtedFor: 2000,
        probeIn: 400,
      },
    },
  },
  {
    kind: 'refusal',
    refusal: {
      refusal: {
        reason: 'no-upstream',
        outcome: 'not-run',
        retryAfterMilliseconds: 0,
      },
      upstream: '',
      hint: undefined,
    },
  },
  {kind: 'news', news: {kind: 'version', version: 7, address: '10.0.0.1:80'}},
  {
    kind: 'news',
    news: {
      kind: 'version-request',
      address: '10.0.0.1:80',
      clock: 1_790_000_000_123,
    },
  },
  {kind: 'news', news: {kind: 'store-restored', era: 3}},
  {
    kind: 'news',
    news: {kind: 'records-lost', era: 3, boxes: ['box-1', 'box-2']},
  },
  {
    kind: 'news',
    news: {
      kind: 'standing',
      upstream: 'claims/b',
      hint: {state: 'accepting', occupied: 0, limit: 5},
    },
  },
  {
    kind: 'news',
    news: {
      kind: 'limit-request',
      box: 'box-in-centre-a-11',
      loan: {
        since: {process: 3_000_000_000, at: 1_700_000_000_123.5},
        boxes: 93,
        poolsDigest: 2 ** 47,
        pools: undefined,
      },
      draws: [{customer: 'c', held: 0, waiting: 2, stock: 1, returned: 0}],
    },
  },
  {
    kind: 'news',
    news: {
      kind: 'limit-request',
      box: 'box-in-centre-a-11',
      loan: undefined,
      draws: [],
    },
  },
  {
    kind: 'news',
    news: {
      kind: 'boxes',
      boxes: [
        {
          box: 'box-in-centre-a-11',
          dataCentre: 'centre-a',
          peerAddress: '10.0.0.1:7380',
          service: 'shop',
          slots: 4,
          takesWork: true,
          coldUntil: 0,
          statedAt: 1_700_000_000_123,
          runs: [
            {digest: 'a', at: 5, hasCrashed: true, program: 'v1'},
            {digest: 'b', at: 6, hasCrashed: false, program: undefined},
          ],
          lifts: [{digest: 'c', at: 7}],
          program: 'v1',
        },
      ],
    },
  },
  {
    kind: 'news',
    news: {
      kind: 'limit-reply',
      box: 'box-in-centre-a-12',
      moment: {process: 3_000_000_000, at: 1_700_000_000_123.5},
      poolsDigest: 2 ** 47,
      lacksPools: true,
      grants: [{customer: 'c', tokens: 2, retryAfterMilliseconds: 0}],
    },
  },
  {
    kind: 'call',
    head: {
      ...EXAMPLE_HEAD,
      knownNotice: {
        incarnation: 'i-4ee3d9cbad@0',
        requestsPerSecond: 2.6,
        isLeaving: false,
      },
    },
  },
  {
    kind: 'news',
    news: {
      kind: 'standing',
      upstream: 'claims/b',
      hint: {
        state: 'accepting',
        occupied: 1,
        limit: 4,
        availableIn: 385,
        notice: {
          incarnation: 'i-4ee3d9cbad@0',
          requestsPerSecond: 2.6,
          isLeaving: false,
        },
      },
    },
  },
  {
    kind: 'news',
    news: {
      kind: 'standing',
      upstream: 'claims/b',
      hint: {
        state: 'doubted',
        occupied: 1,
        limit: 4,
        doubtedFor: 2000,
        probeIn: 400,
        notice: {
          incarnation: 'i-4ee3d9cbad@0',
          requestsPerSecond: undefined,
          isLeaving: true,
        },
      },
    },
  },
  {
    kind: 'news',
    news: {
      kind: 'standing',
      upstream: 'claims/b',
      hint: {
        state: 'accepting',
        occupied: 6,
        limit: 4,
        slotIn: 480,
        retriesLeft: 3,
      },
    },
  },
  {
    kind: 'news',
    news: {
      kind: 'standing',
      upstream: 'claims/b',
      hint: {
        state: 'accepting',
        occupied: 6,
        limit: 4,
        slotIn: Number.POSITIVE_INFINITY,
      },
    },
  },
  {
    kind: 'news',
    news: {
      kind: 'standing',
      upstream: 'claims/b',
      hint: {state: 'draining', occupied: 1, limit: 4, fallbackFor: 2400},
    },
  },
];
