// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Generates the fault schedule of a soak deterministically from the seed. */

import {seededRandom} from '@lockpin/utils';
import type {RandomSource} from '@lockpin/types';
import type {StoreMode, UpstreamMode} from '@lockpin/platform-stand-ins';
import type {LinkFault} from './linkProxy.js';

/** The connections of a box that link faults can affect. */
export type LinkName = 'peers' | 'store' | 'upstream';

/** A scheduled fault; `at` is in milliseconds from the start of the faults. */
export type PlannedFault = {readonly at: number} & (
  | {
      readonly kind: 'kill';
      readonly box: number;
      readonly downMilliseconds: number;
    }
  | {
      readonly kind: 'stop';
      readonly box: number;
      readonly downMilliseconds: number;
    }
  | {
      readonly kind: 'pause';
      readonly box: number;
      readonly durationMilliseconds: number;
    }
  /** Changes the settings file, with or without a signal to the node. */
  | {
      readonly kind: 'reload';
      readonly box: number;
      readonly sendsSignal: boolean;
    }
  | {
      readonly kind: 'link';
      readonly box: number;
      readonly link: LinkName;
      readonly fault: LinkFault;
      readonly durationMilliseconds: number;
    }
  | {
      readonly kind: 'store';
      readonly mode: StoreMode;
      readonly durationMilliseconds: number;
    }
  | {readonly kind: 'store-history-dropped'}
  /** The store is unavailable, then comes back from an older copy. */
  | {
      readonly kind: 'store-restored';
      readonly unavailableMilliseconds: number;
      readonly lost: number;
    }
  | {
      readonly kind: 'upstream';
      readonly box: number;
      readonly mode: UpstreamMode;
      readonly share: number;
      readonly durationMilliseconds: number;
    }
  /** The upstream drains and leaves; one with a new id replaces it. */
  | {readonly kind: 'replace-upstream'; readonly box: number}
  /** The upstream disappears without notice; one with a new id replaces it. */
  | {readonly kind: 'crash-upstream'; readonly box: number}
  /** The upstream disappears; a new process reuses its id. */
  | {readonly kind: 'restart-upstream'; readonly box: number}
  /** The upstream states a limit in its answers. */
  | {
      readonly kind: 'stated-limit';
      readonly box: number;
      readonly value: string;
      readonly durationMilliseconds: number;
    }
  /** The upstream states that it is leaving, and never announces it. */
  | {readonly kind: 'stated-leaving'; readonly box: number}
  /** Another writer sends an announcement in the upstream's name. */
  | {
      readonly kind: 'modified-announcement';
      readonly box: number;
      readonly fields: object;
    }
  /** Another writer overwrites the record of a box. */
  | {
      readonly kind: 'overwritten-record';
      readonly box: number;
      readonly value: string;
    }
  | {readonly kind: 'configure'}
);

/**
 * Which faults are drawn. `second` adds restarts under the same id and invalid
 * writes by others to `first`; `all` adds store restores, and `stated` adds what
 * upstreams state in their answers. A regression seed keeps the set that it was
 * recorded with, and so replays the same schedule.
 */
export type FaultSet = 'first' | 'second' | 'all' | 'stated';

/** Duration, fleet size and fault set of a soak. */
export interface SoakSize {
  readonly faults: FaultSet;
  readonly boxes: number;
  /** Period in which faults begin, in milliseconds. */
  readonly faultMilliseconds: number;
}

/** Mean time between faults; most last longer, so that they overlap. */
const MEAN_GAP_MILLISECONDS = 500;

/** Fault durations, with a distribution skewed towards the shortest. */
const SHORTEST_FAULT_MILLISECONDS = 300;
const LONGEST_FAULT_MILLISECONDS = 4000;

/** Maximum delay of a delayed link. */
const LONGEST_DELAY_MILLISECONDS = 300;

/** Maximum number of repetitions when a fault occurs in a series. */
const MAXIMUM_SERIES_LENGTH = 4;

/** Time between the repetitions of a series. */
const SERIES_GAP_MILLISECONDS = 350;

/** Minimum share of the requests that a faulty upstream mishandles. */
const MINIMUM_AFFECTED_SHARE = 0.2;

const STORE_MODES: readonly StoreMode[] = [
  'busy',
  'silent',
  'slow',
  'answer-lost',
  'done-late',
];

const UPSTREAM_MODES: readonly UpstreamMode[] = [
  'errors',
  'resets',
  'sheds',
  'hangs',
  'unframed',
  'cut-short',
  'answers-twice',
];

const LINKS: readonly LinkName[] = ['peers', 'store', 'upstream'];

/** Draws the fault, or series of faults, that begins at a given time. */
type DrawFault = (
  random: RandomSource,
  at: number,
  boxes: number,
) => readonly PlannedFault[];

/** The `first` fault set; all entries are equally likely. */
const BASE_DRAWS: readonly DrawFault[] = [
  (random, at, boxes) =>
    inSeries(random, at, (time) => ({
      at: time,
      kind: 'kill',
      box: randomIndex(random, boxes),
      downMilliseconds: randomDuration(random),
    })),
  (random, at, boxes) =>
    inSeries(random, at, (time) => ({
      at: time,
      kind: 'stop',
      box: randomIndex(random, boxes),
      downMilliseconds: randomDuration(random) / 2,
    })),
  (random, at, boxes) => [
    {
      at,
      kind: 'pause',
      box: randomIndex(random, boxes),
      durationMilliseconds: randomDuration(random),
    },
  ],
  (random, at, boxes) => [
    {
      at,
      kind: 'reload',
      box: randomIndex(random, boxes),
      sendsSignal: random() < 0.5,
    },
  ],
  (random, at, boxes) => [
    {
      at,
      kind: 'link',
      box: randomIndex(random, boxes),
      link: randomItem(random, LINKS),
      fault: drawLinkFault(random),
      durationMilliseconds: randomDuration(random),
    },
  ],
  (random, at) => [
    {
      at,
      kind: 'store',
      mode: randomItem(random, STORE_MODES),
      durationMilliseconds: randomDuration(random),
    },
  ],
  (_random, at) => [{at, kind: 'store-history-dropped'}],
  (random, at, boxes) => [
    {
      at,
      kind: 'upstream',
      box: randomIndex(random, boxes),
      mode: randomItem(random, UPSTREAM_MODES),
      share: MINIMUM_AFFECTED_SHARE + (1 - MINIMUM_AFFECTED_SHARE) * random(),
      durationMilliseconds: randomDuration(random),
    },
  ],
  (random, at, boxes) => [
    {at, kind: 'replace-upstream', box: randomIndex(random, boxes)},
  ],
  (random, at, boxes) => [
    {at, kind: 'crash-upstream', box: randomIndex(random, boxes)},
  ],
  (random, at) =>
    inSeries(random, at, (time) => ({at: time, kind: 'configure'})),
];

/** Invalid fields of announcements by other writers. */
const INVALID_ANNOUNCEMENT_FIELDS: readonly object[] = [
  {State: 'zombie'},
  {State: undefined},
  {Slots: -1},
  {Slots: 'many'},
  {Service: 'nobody'},
  {Address: 'nowhere'},
  {born: 'yesterday'},
  {born: 9e15},
];

/** Invalid records by other writers, including one stated far in the future. */
const INVALID_RECORD_VALUES: readonly string[] = [
  '',
  '?',
  'null',
  '[]',
  '{"box":1}',
  '{"box":"box-1","statedAt":9e15}',
];

/**
 * Faults that the `second` set adds. They are drawn from a separate random
 * sequence so that the schedule of the `first` set does not change.
 */
const SECOND_SET_DRAWS: readonly DrawFault[] = [
  (random, at, boxes) =>
    inSeries(random, at, (time) => ({
      at: time,
      kind: 'restart-upstream',
      box: randomIndex(random, boxes),
    })),
  (random, at, boxes) => [
    {
      at,
      kind: 'modified-announcement',
      box: randomIndex(random, boxes),
      fields: randomItem(random, INVALID_ANNOUNCEMENT_FIELDS),
    },
  ],
  (random, at, boxes) => [
    {
      at,
      kind: 'overwritten-record',
      box: randomIndex(random, boxes),
      value: randomItem(random, INVALID_RECORD_VALUES),
    },
  ],
];

/** Faults that the `all` set adds, drawn separately for the same reason. */
const RESTORE_DRAWS: readonly DrawFault[] = [
  (random, at) =>
    inSeries(random, at, (time) => ({
      at: time,
      kind: 'store-restored',
      unavailableMilliseconds: randomDuration(random) / 4,
      lost: randomDuration(random),
    })),
];

/** Limits that upstreams state, in requests per second; some are no numbers. */
const STATED_LIMITS: readonly string[] = [
  '0',
  '0.5',
  '2.5',
  '6',
  '20',
  'many',
  '-1',
];

/** Limits last longer than other faults: they bind after some seconds. */
const LIMIT_DURATION_FACTOR = 3;

/** Faults that the `stated` set adds. */
const STATED_DRAWS: readonly DrawFault[] = [
  (random, at, boxes) =>
    inSeries(random, at, (time) => ({
      at: time,
      kind: 'stated-limit',
      box: randomIndex(random, boxes),
      value: randomItem(random, STATED_LIMITS),
      durationMilliseconds: LIMIT_DURATION_FACTOR * randomDuration(random),
    })),
  (random, at, boxes) => [
    {at, kind: 'stated-leaving', box: randomIndex(random, boxes)},
  ],
];

/** Large offsets, so that the fault sets of one seed use distinct sequences. */
const SECOND_SET_SEED_OFFSET = 7_777_777;
const RESTORE_SEED_OFFSET = 15_555_557;
const STATED_SEED_OFFSET = 23_333_339;

/** Statements are this many times less frequent than other faults. */
const STATED_GAP_FACTOR = 3;

/** Restores are this many times less frequent than other faults. */
const RESTORE_GAP_FACTOR = 4;

/** Returns the faults of a seed, ordered by time. */
export function planFaults(
  seed: number,
  size: SoakSize,
): readonly PlannedFault[] {
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

/** Draws a single fault with probability 0.5, otherwise two or more. */
function inSeries(
  random: RandomSource,
  at: number,
  draw: (at: number) => PlannedFault,
): readonly PlannedFault[] {
  const count =
    random() < 0.5 ? 1 : 2 + randomIndex(random, MAXIMUM_SERIES_LENGTH - 1);
  return Array.from({length: count}, (_, i) =>
    draw(at + i * SERIES_GAP_MILLISECONDS),
  );
}

function drawLinkFault(random: RandomSource): LinkFault {
  const kind = randomItem(random, [
    'delayed',
    'silent',
    'answers-blocked',
    'resetting',
  ] as const);
  return kind === 'delayed'
    ? {kind, milliseconds: Math.round(LONGEST_DELAY_MILLISECONDS * random())}
    : {kind};
}

function randomDuration(random: RandomSource): number {
  const range = LONGEST_FAULT_MILLISECONDS - SHORTEST_FAULT_MILLISECONDS;
  return Math.round(SHORTEST_FAULT_MILLISECONDS + range * random() ** 2);
}

function randomIndex(random: RandomSource, count: number): number {
  return Math.floor(random() * count);
}

function randomItem<T>(random: RandomSource, items: readonly T[]): T {
  return items[randomIndex(random, items.length)] as T;
}
