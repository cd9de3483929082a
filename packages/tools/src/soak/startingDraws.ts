// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Draws the faults of the `starting` set at random. */

import {
  HELD_ADDRESSES,
  MAXIMUM_SERIES_LENGTH,
  drawShortEnds,
  randomDuration,
  randomIndex,
} from './faultDraws.js';
import type {DrawFault} from './faultDraws.js';

/** Oldest process that is told to stop while it starts; some already serve. */
const OLDEST_START_MILLISECONDS = 600;

const LONGEST_SIGNAL_GAP_MILLISECONDS = 400;

/** A step of a rewritten file lasts longer than a node's reading of it. */
const LONGEST_STEP_MILLISECONDS = 1200;

/** Faults of the `starting` set: what may happen to starts and ends. */
export const STARTING_DRAWS: readonly DrawFault[] = [
  (random, at, boxes) => {
    const addresses = HELD_ADDRESSES.filter(() => random() < 0.5);
    return [
      {
        at,
        kind: 'held-addresses',
        box: randomIndex(random, boxes),
        addresses: addresses.length > 0 ? addresses : HELD_ADDRESSES,
        isStopped: random() < 0.5,
        durationMilliseconds: randomDuration(random),
      },
    ];
  },
  (random, at, boxes) => [
    {at, kind: 'overlapping-start', box: randomIndex(random, boxes)},
  ],
  (random, at, boxes) => [
    {
      at,
      kind: 'stops-in-starts',
      box: randomIndex(random, boxes),
      ages: Array.from(
        {length: 1 + randomIndex(random, MAXIMUM_SERIES_LENGTH)},
        () => Math.round(OLDEST_START_MILLISECONDS * random()),
      ),
    },
  ],
  (random, at, boxes) => [
    {
      at,
      kind: 'signals',
      box: randomIndex(random, boxes),
      signals: Array.from(
        {length: 1 + randomIndex(random, MAXIMUM_SERIES_LENGTH)},
        () => (random() < 0.5 ? 'SIGHUP' : 'SIGTERM'),
      ),
      gapMilliseconds: Math.round(LONGEST_SIGNAL_GAP_MILLISECONDS * random()),
    },
  ],
  (random, at, boxes) => [
    {
      at,
      kind: 'settings-rewritten',
      box: randomIndex(random, boxes),
      stepMilliseconds: Math.round(LONGEST_STEP_MILLISECONDS * random()),
      sendsSignal: random() < 0.5,
      restarts: random() < 0.5,
    },
  ],
  drawShortEnds,
];
