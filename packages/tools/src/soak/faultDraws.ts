// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Draws the faults of each fault set at random. */

import type {RandomSource} from '@lockpin/types';
import {NO_ANSWER_MODES} from '@lockpin/platform-stand-ins';
import type {StoreMode, UpstreamMode} from '@lockpin/platform-stand-ins';
import type {LinkFault} from './linkProxy.js';
import {SOAK_SERVICES} from './soakConfiguration.js';
import type {HeldAddress, LinkName, PlannedFault} from './plannedFault.js';

/** Fault durations, with a distribution skewed towards the shortest. */
const SHORTEST_FAULT_MILLISECONDS = 300;
const LONGEST_FAULT_MILLISECONDS = 4000;

/** Limit of file descriptors of the nodes of the `crowded` set. */
export const CROWDED_DESCRIPTORS = 500;

/** Maximum delay of a delayed link. */
const LONGEST_DELAY_MILLISECONDS = 300;

/** Maximum number of repetitions when a fault occurs in a series. */
export const MAXIMUM_SERIES_LENGTH = 4;

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
export type DrawFault = (
  random: RandomSource,
  at: number,
  boxes: number,
) => readonly PlannedFault[];

function drawPause(
  random: RandomSource,
  at: number,
  boxes: number,
): readonly PlannedFault[] {
  return [
    {
      at,
      kind: 'pause',
      box: randomIndex(random, boxes),
      durationMilliseconds: randomDuration(random),
    },
  ];
}

/** Draws nodes that end one after another, and soon start again. */
export function drawShortEnds(
  random: RandomSource,
  at: number,
  boxes: number,
): readonly PlannedFault[] {
  return inSeries(random, at, (time) => ({
    at: time,
    kind: random() < 0.5 ? 'kill' : 'stop',
    box: randomIndex(random, boxes),
    downMilliseconds: SHORTEST_FAULT_MILLISECONDS,
  }));
}

/** The `first` fault set; all entries are equally likely. */
export const BASE_DRAWS: readonly DrawFault[] = [
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
  drawPause,
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
export const SECOND_SET_DRAWS: readonly DrawFault[] = [
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
export const RESTORE_DRAWS: readonly DrawFault[] = [
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
export const STATED_DRAWS: readonly DrawFault[] = [
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

/** Isolated boxes have to apply changes by themselves for this long. */
const ISOLATION_MILLISECONDS = 9000;

/** Time between changes that the store confirms after it was silent. */
const CONFIRMATION_GAP_MILLISECONDS = 62;

/** Faults of the `isolated` set: the store hangs while boxes are isolated. */
export const ISOLATION_DRAWS: readonly DrawFault[] = [
  (random, at) => {
    const hangsAt = Math.round(at + 3000 * random());
    const durationMilliseconds = Math.round(100 + 700 * random());
    const resumedAt = hangsAt + durationMilliseconds;
    const changes = Array.from(
      {length: 2 + randomIndex(random, MAXIMUM_SERIES_LENGTH - 1)},
      (_, i) => ({
        at: resumedAt + (i + 1) * CONFIRMATION_GAP_MILLISECONDS,
        kind: 'configure' as const,
      }),
    );
    return [
      {at, kind: 'isolation', durationMilliseconds: ISOLATION_MILLISECONDS},
      {at: hangsAt, kind: 'store', mode: 'hung', durationMilliseconds},
      ...changes,
    ];
  },
];

/** Share of the boxes that are replaced at once, and of those that then fail. */
const REPLACED_SHARE = 1 / 3;

/** Upstreams fail for long enough that new ones count as healthy meanwhile. */
const FAILING_MILLISECONDS = 9000;

/**
 * Faults of the `replaced` set: some boxes are replaced, with their upstreams,
 * while the upstreams of others fail a part of their calls.
 */
export const REPLACEMENT_DRAWS: readonly DrawFault[] = [
  (random, at, boxes) => {
    const first = randomIndex(random, boxes);
    const count = Math.ceil(boxes * REPLACED_SHARE);
    const boxAt = (i: number): number => (first + i) % boxes;
    const mode = randomItem(random, ['errors', 'resets', 'hangs'] as const);
    const share = MINIMUM_AFFECTED_SHARE + 0.6 * random();
    return Array.from({length: count}, (_, i): readonly PlannedFault[] => [
      {at, kind: 'crash-upstream', box: boxAt(i)},
      {
        at,
        kind: 'kill',
        box: boxAt(i),
        downMilliseconds: SHORTEST_FAULT_MILLISECONDS,
      },
      {
        at,
        kind: 'upstream',
        box: boxAt(count + i),
        mode,
        share,
        durationMilliseconds: FAILING_MILLISECONDS,
      },
    ]).flat();
  },
];

/** Rejections last as long as in the deployments of docs/design/hardLoad.md. */
const REJECTIONS_MILLISECONDS = 8500;

/** Faults of the `loaded` set: load and readers that are hard to serve. */
export const LOAD_DRAWS: readonly DrawFault[] = [
  (random, at) => [
    {
      at,
      kind: 'rejections',
      service: randomItem(random, SOAK_SERVICES),
      share: 0.3 + 0.3 * random(),
      durationMilliseconds: REJECTIONS_MILLISECONDS,
    },
  ],
  (random, at, boxes) => [
    {
      at,
      kind: 'flood',
      box: randomIndex(random, boxes),
      callers: 10 + randomIndex(random, 20),
      durationMilliseconds: LONGEST_FAULT_MILLISECONDS,
    },
  ],
  (random, at, boxes) => [
    {
      at,
      kind: 'slow-readers',
      box: randomIndex(random, boxes),
      readers: 4 + randomIndex(random, 8),
    },
  ],
];

/** How upstreams break their answers in the `broken` set. */
const BREAKING_MODES: readonly UpstreamMode[] = [
  'unframed',
  'unframed-reset',
  'endless',
  'answers-late',
  'answers-twice',
  'cut-short',
];

/**
 * Faults of the `broken` set: upstreams break off, prolong and repeat their
 * answers, while callers read slowly and nodes end.
 */
export const BREAKING_DRAWS: readonly DrawFault[] = [
  (random, at, boxes) => [
    {
      at,
      kind: 'upstream',
      box: randomIndex(random, boxes),
      mode: randomItem(random, BREAKING_MODES),
      share: MINIMUM_AFFECTED_SHARE + 0.4 * random(),
      durationMilliseconds: LONGEST_FAULT_MILLISECONDS,
    },
  ],
  (random, at, boxes) => [
    {
      at,
      kind: 'slow-readers',
      box: randomIndex(random, boxes),
      readers: 4 + randomIndex(random, 8),
    },
  ],
  (random, at, boxes) => [
    {
      at,
      kind: random() < 0.5 ? 'kill' : 'stop',
      box: randomIndex(random, boxes),
      downMilliseconds: SHORTEST_FAULT_MILLISECONDS,
    },
  ],
];

/** How upstreams fail to answer, or to end, in the `endless` set. */
const NO_ANSWERS: readonly UpstreamMode[] = [...NO_ANSWER_MODES, 'endless'];

/**
 * Faults of the `endless` set: several upstreams at a time send what is no answer
 * or has no end. Drawn apart from `broken`, whose schedules so do not change.
 */
export const ENDLESS_DRAWS: readonly DrawFault[] = [
  (random, at, boxes) => [
    {
      at,
      kind: 'upstream',
      box: randomIndex(random, boxes),
      mode: randomItem(random, NO_ANSWERS),
      share: MINIMUM_AFFECTED_SHARE + (1 - MINIMUM_AFFECTED_SHARE) * random(),
      durationMilliseconds: LONGEST_FAULT_MILLISECONDS,
    },
  ],
];

/** Addresses on which a node listens. */
export const HELD_ADDRESSES: readonly HeldAddress[] = [
  'caller',
  'peer',
  'readiness',
  'announcements',
  'metrics',
];

/** Connections beyond what a node of the `crowded` set has descriptors for. */
const CROWD = CROWDED_DESCRIPTORS + 100;

function drawCrowd(
  random: RandomSource,
  at: number,
  boxes: number,
): readonly PlannedFault[] {
  return [
    {
      at,
      kind: 'idle-connections',
      box: randomIndex(random, boxes),
      address: randomItem(random, HELD_ADDRESSES),
      connections: CROWD,
      durationMilliseconds: LONGEST_FAULT_MILLISECONDS,
    },
  ];
}

/**
 * Faults of the `crowded` set: more connections than nodes have descriptors, while
 * callers call and nodes end, stand still and start.
 */
export const CROWDED_DRAWS: readonly DrawFault[] = [
  drawCrowd,
  drawCrowd,
  drawShortEnds,
  drawPause,
];

/** Draws a single fault with probability 0.5, otherwise two or more. */
export function inSeries(
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

/** Draws the duration of a fault. */
export function randomDuration(random: RandomSource): number {
  const range = LONGEST_FAULT_MILLISECONDS - SHORTEST_FAULT_MILLISECONDS;
  return Math.round(SHORTEST_FAULT_MILLISECONDS + range * random() ** 2);
}

/** Draws an index below a count. */
export function randomIndex(random: RandomSource, count: number): number {
  return Math.floor(random() * count);
}

/** Chooses one of some items. */
export function randomItem<T>(random: RandomSource, items: readonly T[]): T {
  return items[randomIndex(random, items.length)] as T;
}
