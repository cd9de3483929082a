// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Draws the faults of the `restarted` set: rolling restarts that overlap. */

import type {RandomSource} from '@lockpin/types';
import {
  BASE_DRAWS,
  BREAKING_DRAWS,
  ENDLESS_DRAWS,
  LOAD_DRAWS,
  STATED_DRAWS,
  randomIndex,
  randomItem,
} from './faultDraws.js';
import type {DrawFault} from './faultDraws.js';
import type {PlannedFault} from './plannedFault.js';

/** Share of the boxes that each of the two rolling restarts stops. */
const RESTARTED_SHARE = 0.45;

/** Delay from the start of one restart until the other begins. */
const LONGEST_OFFSET_MILLISECONDS = 1000;

/** Time between the stops of a rolling restart. */
const SHORTEST_STOP_GAP_MILLISECONDS = 50;
const LONGEST_STOP_GAP_MILLISECONDS = 500;

/** How long a node is down between its processes. */
const DOWN_MILLISECONDS = 300;

/** Share of the restarts that come beside another kind of fault. */
const ACCOMPANIED_SHARE = 0.7;

/** Other faults come before most stops have ended. */
const LATEST_FAULT_MILLISECONDS = 2000;

const OTHER_DRAWS: readonly (readonly DrawFault[])[] = [
  BASE_DRAWS,
  BREAKING_DRAWS,
  ENDLESS_DRAWS,
  LOAD_DRAWS,
  STATED_DRAWS,
];

/** Rolling restarts that overlap, alone or beside other faults. */
export const RESTART_DRAWS: readonly DrawFault[] = [
  (random, at, boxes) => [
    ...drawOverlappingRestarts(random, at, boxes),
    ...(random() < ACCOMPANIED_SHARE ? drawOthers(random, at, boxes) : []),
  ],
];

/** Each box is stopped once; the two restarts have gaps of their own. */
function drawOverlappingRestarts(
  random: RandomSource,
  at: number,
  boxes: number,
): readonly PlannedFault[] {
  const order = shuffled(random, boxes);
  const count = Math.ceil(boxes * RESTARTED_SHARE);
  const offset = LONGEST_OFFSET_MILLISECONDS * random();
  return [
    ...drawRestart(random, at, order.slice(0, count)),
    ...drawRestart(random, at + offset, order.slice(count, 2 * count)),
  ];
}

function drawRestart(
  random: RandomSource,
  at: number,
  boxes: readonly number[],
): readonly PlannedFault[] {
  const range = LONGEST_STOP_GAP_MILLISECONDS - SHORTEST_STOP_GAP_MILLISECONDS;
  const gap = SHORTEST_STOP_GAP_MILLISECONDS + range * random();
  return boxes.map((box, i) => ({
    at: Math.round(at + i * gap),
    kind: 'stop',
    box,
    downMilliseconds: DOWN_MILLISECONDS,
  }));
}

function drawOthers(
  random: RandomSource,
  at: number,
  boxes: number,
): readonly PlannedFault[] {
  const later = Math.round(at + LATEST_FAULT_MILLISECONDS * random());
  return randomItem(random, randomItem(random, OTHER_DRAWS))(
    random,
    later,
    boxes,
  );
}

/** The indexes below a count in random order. */
function shuffled(random: RandomSource, count: number): readonly number[] {
  const rest = Array.from({length: count}, (_, i) => i);
  return Array.from(
    {length: count},
    () => rest.splice(randomIndex(random, rest.length), 1)[0] as number,
  );
}
