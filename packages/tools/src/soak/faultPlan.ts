// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Generates the fault schedule of a soak deterministically from the seed. */

import {seededRandom} from '@lockpin/utils';
import {
  BASE_DRAWS,
  BREAKING_DRAWS,
  CROWDED_DRAWS,
  ENDLESS_DRAWS,
  ISOLATION_DRAWS,
  LOAD_DRAWS,
  REPLACEMENT_DRAWS,
  RESTORE_DRAWS,
  SECOND_SET_DRAWS,
  STATED_DRAWS,
  randomItem,
} from './faultDraws.js';
import type {DrawFault} from './faultDraws.js';
import type {PlannedFault} from './plannedFault.js';
import {RESTART_DRAWS} from './restartDraws.js';
import {STARTING_DRAWS} from './startingDraws.js';

/**
 * Which faults are drawn. `second` adds restarts under the same id and invalid
 * writes by others to `first`; `all` adds store restores, and `stated` adds what
 * upstreams state in their answers. `isolated` holds only times in which no box
 * hears another, `replaced` only replacements of boxes, `loaded` only hard load,
 * `broken` only answers that upstreams break, `starting` only what may happen to a
 * process that starts or ends, `endless` only upstreams that send what is no
 * answer or has no end, `crowded` more connections than nodes can have, and
 * `restarted` rolling restarts that overlap, beside other faults. A regression seed keeps the set that it was recorded with, and so replays the same
 * schedule.
 */
export type FaultSet =
  | 'first'
  | 'second'
  | 'all'
  | 'stated'
  | 'isolated'
  | 'replaced'
  | 'loaded'
  | 'broken'
  | 'starting'
  | 'endless'
  | 'crowded'
  | 'restarted';

/** Duration, fleet size and fault set of a soak. */
export interface SoakSize {
  readonly faults: FaultSet;
  readonly boxes: number;
  /** Period in which faults begin, in milliseconds. */
  readonly faultMilliseconds: number;
}

/** Mean time between faults; most last longer, so that they overlap. */
const MEAN_GAP_MILLISECONDS = 500;

/** Large offsets, so that the fault sets of one seed use distinct sequences. */
const SECOND_SET_SEED_OFFSET = 7_777_777;
const RESTORE_SEED_OFFSET = 15_555_557;
const STATED_SEED_OFFSET = 23_333_339;

/** Statements are this many times less frequent than other faults. */
const STATED_GAP_FACTOR = 3;

/**
 * Mean time between the faults of sets that hold only one kind, in milliseconds;
 * they do not overlap much.
 */
const SINGLE_KIND_GAP = 12_000;

/** Mean time between the faults of the `loaded` set; they overlap. */
const LOAD_GAP_MILLISECONDS = 1500;

/** Mean time between the faults of `broken` and `endless`; they overlap. */
const BREAKING_GAP_MILLISECONDS = 700;

/** Mean time between the faults of `starting` and `crowded`; they overlap. */
const STARTING_GAP_MILLISECONDS = 900;

/** Mean time between the rolling restarts of `restarted`; a stop takes seconds. */
const RESTART_GAP_MILLISECONDS = 5000;

/** The draws of fault sets that hold only one kind. */
const SINGLE_KIND_DRAWS: Readonly<
  Partial<Record<FaultSet, readonly [readonly DrawFault[], number]>>
> = {
  isolated: [ISOLATION_DRAWS, SINGLE_KIND_GAP],
  replaced: [REPLACEMENT_DRAWS, SINGLE_KIND_GAP],
  loaded: [LOAD_DRAWS, LOAD_GAP_MILLISECONDS],
  broken: [BREAKING_DRAWS, BREAKING_GAP_MILLISECONDS],
  starting: [STARTING_DRAWS, STARTING_GAP_MILLISECONDS],
  endless: [ENDLESS_DRAWS, BREAKING_GAP_MILLISECONDS],
  crowded: [CROWDED_DRAWS, STARTING_GAP_MILLISECONDS],
  restarted: [RESTART_DRAWS, RESTART_GAP_MILLISECONDS],
};

/** Restores are this many times less frequent than other faults. */
const RESTORE_GAP_FACTOR = 4;

/** Returns the faults of a seed, ordered by time. */
export function planFaults(
  seed: number,
  size: SoakSize,
): readonly PlannedFault[] {
  const singleKind = SINGLE_KIND_DRAWS[size.faults];
  if (singleKind !== undefined) {
    const faults = drawFaults(seed, size, ...singleKind);
    return [...faults].sort((a, b) => a.at - b.at);
  }
  const baseFaults = drawFaults(seed, size, BASE_DRAWS);
  const secondSetFaults =
    size.faults === 'first'
      ? []
      : drawFaults(seed + SECOND_SET_SEED_OFFSET, size, SECOND_SET_DRAWS);
  const restores =
    size.faults === 'all' || size.faults === 'stated'
      ? drawFaults(
          seed + RESTORE_SEED_OFFSET,
          size,
          RESTORE_DRAWS,
          RESTORE_GAP_FACTOR * MEAN_GAP_MILLISECONDS,
        )
      : [];
  const statedFaults =
    size.faults === 'stated'
      ? drawFaults(
          seed + STATED_SEED_OFFSET,
          size,
          STATED_DRAWS,
          STATED_GAP_FACTOR * MEAN_GAP_MILLISECONDS,
        )
      : [];
  return [...baseFaults, ...secondSetFaults, ...restores, ...statedFaults].sort(
    (a, b) => a.at - b.at,
  );
}

function drawFaults(
  seed: number,
  {boxes, faultMilliseconds}: SoakSize,
  draws: readonly DrawFault[],
  meanGap: number = MEAN_GAP_MILLISECONDS,
): readonly PlannedFault[] {
  const random = seededRandom(seed);
  const faults: PlannedFault[] = [];
  let at = 0;
  while (at < faultMilliseconds) {
    faults.push(...randomItem(random, draws)(random, Math.round(at), boxes));
    at += 2 * meanGap * random();
  }
  return faults;
}
