// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What goes wrong in a soak, and when: a pure function of the seed. */

import {seededRandom} from '@lockpin/utils';
import type {RandomSource} from '@lockpin/types';
import type {StoreMood, UpstreamMood} from '@lockpin/platform-stand-ins';
import type {LinkFault} from './linkProxy.js';

/** Which connections of a box a fault is on. */
export type LinkName = 'peers' | 'store' | 'upstream';

/** One thing that is done, at a time from the start of the faults. */
export type PlannedFault = {readonly at: number} & (
  | {readonly kind: 'kill'; readonly box: number; readonly downFor: number}
  | {readonly kind: 'stop'; readonly box: number; readonly downFor: number}
  | {readonly kind: 'pause'; readonly box: number; readonly lasts: number}
  /** The settings file changes; a signal may or may not tell. */
  | {readonly kind: 'reload'; readonly box: number; readonly signals: boolean}
  | {
      readonly kind: 'link';
      readonly box: number;
      readonly link: LinkName;
      readonly fault: LinkFault;
      readonly lasts: number;
    }
  | {readonly kind: 'store'; readonly mood: StoreMood; readonly lasts: number}
  | {readonly kind: 'store-forgets'}
  /** It is away for a time and comes back as it was longer ago. */
  | {
      readonly kind: 'store-restored';
      readonly awayFor: number;
      readonly lost: number;
    }
  | {
      readonly kind: 'upstream';
      readonly box: number;
      readonly mood: UpstreamMood;
      readonly share: number;
      readonly lasts: number;
    }
  /** Its upstream drains and leaves; another lifetime takes its place. */
  | {readonly kind: 'replace-upstream'; readonly box: number}
  /** Its upstream is gone without a word; another lifetime takes its place. */
  | {readonly kind: 'crash-upstream'; readonly box: number}
  /** Its upstream is gone; a process that starts anew takes up its id. */
  | {readonly kind: 'restart-upstream'; readonly box: number}
  /** Another writer speaks in its upstream's name. */
  | {
      readonly kind: 'other-announcement';
      readonly box: number;
      readonly fields: object;
    }
  /** Another writer puts something in the place of a box's record. */
  | {
      readonly kind: 'other-record';
      readonly box: number;
      readonly value: string;
    }
  | {readonly kind: 'configure'}
);

/**
 * Which faults are played. Seeds that were kept before there were further ones go on
 * without them, so that they show what they showed: the second set has restarts under the
 * same id and other writers, the third restores of the store.
 */
export type FaultSet = 'first' | 'second' | 'all';

/** How long and how large a soak is. */
export interface SoakSize {
  readonly faults: FaultSet;
  readonly boxes: number;
  /** Time in which faults begin, in milliseconds. */
  readonly faultMilliseconds: number;
}

/** Mean time between faults; each lasts longer than that, so that they overlap. */
const MEAN_GAP_MILLISECONDS = 500;

/** Times of single faults; most are nearer to the shortest. */
const SHORTEST_FAULT_MILLISECONDS = 300;
const LONGEST_FAULT_MILLISECONDS = 4000;

/** Delays of a bad link, up to this. */
const LONGEST_DELAY_MILLISECONDS = 300;

/** Steps of a series of stops, kills or configurations. */
const MOST_IN_SERIES = 4;

/** Time between the steps of a series. */
const SERIES_GAP_MILLISECONDS = 350;

/** A bad upstream is so for this share of its requests at the least. */
const LEAST_MOOD_SHARE = 0.2;

const STORE_MOODS: readonly StoreMood[] = [
  'busy',
  'silent',
  'slow',
  'answer-lost',
  'done-late',
];

const UPSTREAM_MOODS: readonly UpstreamMood[] = [
  'errors',
  'resets',
  'sheds',
  'hangs',
  'unframed',
  'cut-short',
  'answers-twice',
];

const LINKS: readonly LinkName[] = ['peers', 'store', 'upstream'];

/** Draws the faults that begin at a time: one, or a series. */
type DrawFault = (
  random: RandomSource,
  at: number,
  boxes: number,
) => readonly PlannedFault[];

/** Each is as likely as the others; some come in series. */
const DRAWS: readonly DrawFault[] = [
  (random, at, boxes) =>
    inSeries(random, at, (time) => ({
      at: time,
      kind: 'kill',
      box: pick(random, boxes),
      downFor: span(random),
    })),
  (random, at, boxes) =>
    inSeries(random, at, (time) => ({
      at: time,
      kind: 'stop',
      box: pick(random, boxes),
      downFor: span(random) / 2,
    })),
  (random, at, boxes) => [
    {at, kind: 'pause', box: pick(random, boxes), lasts: span(random)},
  ],
  (random, at, boxes) => [
    {at, kind: 'reload', box: pick(random, boxes), signals: random() < 0.5},
  ],
  (random, at, boxes) => [
    {
      at,
      kind: 'link',
      box: pick(random, boxes),
      link: oneOf(random, LINKS),
      fault: drawLinkFault(random),
      lasts: span(random),
    },
  ],
  (random, at) => [
    {at, kind: 'store', mood: oneOf(random, STORE_MOODS), lasts: span(random)},
  ],
  (_random, at) => [{at, kind: 'store-forgets'}],
  (random, at, boxes) => [
    {
      at,
      kind: 'upstream',
      box: pick(random, boxes),
      mood: oneOf(random, UPSTREAM_MOODS),
      share: LEAST_MOOD_SHARE + (1 - LEAST_MOOD_SHARE) * random(),
      lasts: span(random),
    },
  ],
  (random, at, boxes) => [
    {at, kind: 'replace-upstream', box: pick(random, boxes)},
  ],
  (random, at, boxes) => [
    {at, kind: 'crash-upstream', box: pick(random, boxes)},
  ],
  (random, at) =>
    inSeries(random, at, (time) => ({at: time, kind: 'configure'})),
];

/** What other writers say of an upstream. */
const OTHER_FIELDS: readonly object[] = [
  {State: 'zombie'},
  {State: undefined},
  {Slots: -1},
  {Slots: 'many'},
  {Service: 'nobody'},
  {Address: 'nowhere'},
  {born: 'yesterday'},
  {born: 9e15},
];

/** What other writers put in the place of a record; times years ahead among it. */
const OTHER_VALUES: readonly string[] = [
  '',
  '?',
  'null',
  '[]',
  '{"box":1}',
  '{"box":"box-1","statedAt":9e15}',
];

/** Faults that came later; drawn apart, so that the others stay as they were. */
const LATER_DRAWS: readonly DrawFault[] = [
  (random, at, boxes) =>
    inSeries(random, at, (time) => ({
      at: time,
      kind: 'restart-upstream',
      box: pick(random, boxes),
    })),
  (random, at, boxes) => [
    {
      at,
      kind: 'other-announcement',
      box: pick(random, boxes),
      fields: oneOf(random, OTHER_FIELDS),
    },
  ],
  (random, at, boxes) => [
    {
      at,
      kind: 'other-record',
      box: pick(random, boxes),
      value: oneOf(random, OTHER_VALUES),
    },
  ],
];

/** The store comes back from a copy, once or several times. */
const RESTORE_DRAWS: readonly DrawFault[] = [
  (random, at) =>
    inSeries(random, at, (time) => ({
      at: time,
      kind: 'store-restored',
      awayFor: span(random) / 4,
      lost: span(random),
    })),
];

/** Far from other seeds, so that the plans of one seed differ. */
const LATER_SEED_OFFSET = 7_777_777;
const RESTORE_SEED_OFFSET = 15_555_557;

/** A restore comes this many times less often than other faults. */
const RESTORE_RARITY = 4;

/** The faults of a seed, in the order of their times. */
export function planFaults(
  seed: number,
  size: SoakSize,
): readonly PlannedFault[] {
  const first = drawFaults(seed, size, DRAWS);
  const later =
    size.faults === 'first'
      ? []
      : drawFaults(seed + LATER_SEED_OFFSET, size, LATER_DRAWS);
  const restores =
    size.faults === 'all'
      ? drawFaults(
          seed + RESTORE_SEED_OFFSET,
          size,
          RESTORE_DRAWS,
          RESTORE_RARITY * MEAN_GAP_MILLISECONDS,
        )
      : [];
  return [...first, ...later, ...restores].sort((a, b) => a.at - b.at);
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
    faults.push(...oneOf(random, draws)(random, Math.round(at), boxes));
    at += 2 * meanGap * random();
  }
  return faults;
}

/** A single step half of the time, else two or more. */
function inSeries(
  random: RandomSource,
  at: number,
  draw: (at: number) => PlannedFault,
): readonly PlannedFault[] {
  const count = random() < 0.5 ? 1 : 2 + pick(random, MOST_IN_SERIES - 1);
  return Array.from({length: count}, (_, i) =>
    draw(at + i * SERIES_GAP_MILLISECONDS),
  );
}

function drawLinkFault(random: RandomSource): LinkFault {
  const kind = oneOf(random, [
    'delayed',
    'silent',
    'answers-cut',
    'resetting',
  ] as const);
  return kind === 'delayed'
    ? {kind, milliseconds: Math.round(LONGEST_DELAY_MILLISECONDS * random())}
    : {kind};
}

function span(random: RandomSource): number {
  const range = LONGEST_FAULT_MILLISECONDS - SHORTEST_FAULT_MILLISECONDS;
  return Math.round(SHORTEST_FAULT_MILLISECONDS + range * random() ** 2);
}

function pick(random: RandomSource, count: number): number {
  return Math.floor(random() * count);
}

function oneOf<T>(random: RandomSource, items: readonly T[]): T {
  return items[pick(random, items.length)] as T;
}
