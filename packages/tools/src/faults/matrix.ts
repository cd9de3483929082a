// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which test brings about which fault at which step. */

/** What can be under way when a fault comes. */
export const STEPS = [
  'a call',
  'a configuration change',
  'an ejection',
  'a drain',
  'a planned stop',
] as const;

/** One of the columns. */
export type Step = (typeof STEPS)[number];

/** A test by its file and the beginning of its title as it stands there. */
export interface TestReference {
  readonly file: string;
  readonly title: string;
}

/** What stands in one cell. */
export type Cell =
  | {readonly kind: 'proved'; readonly tests: readonly TestReference[]}
  | {readonly kind: 'cannot'; readonly why: string}
  | {readonly kind: 'open'; readonly what: string};

/** One row. */
export interface FaultRow {
  readonly fault: string;
  readonly cells: Readonly<Record<Step, Cell>>;
}

const BRAIN = 'packages/brain/src/__tests__';
const CALLS = `${BRAIN}/callFaults.test.ts`;
const CHANGES = `${BRAIN}/changeFaults.test.ts`;
const SPREAD = `${BRAIN}/configurationSpreads.test.ts`;
const FLOOR = `${BRAIN}/floorIsKept.test.ts`;
const GUARD = `${BRAIN}/guardBrain.test.ts`;
const DETECTOR = 'packages/detection/src/__tests__/grayDetector.test.ts';
const CYCLE = 'packages/detection/src/__tests__/ejectionCycle.test.ts';
const HOLDER = 'packages/floor/src/__tests__/permitHolder.test.ts';
const MEMBERS = 'packages/membership/src/__tests__/membership.test.ts';
const RESTORED = `${BRAIN}/restoredLog.test.ts`;
const OPERATORS = 'packages/tools/src/__tests__/operators.test.ts';

const single = {file: CALLS, title: 'stays true when %s, at every step'};
const pair = {
  file: CALLS,
  title: 'stays true when %s and another fault comes too',
};
const change = {
  file: CHANGES,
  title: 'is kept or refused truthfully when $name',
};
const restart = {file: CHANGES, title: 'comes to the same state when $name'};
const pairOfChange = {
  file: CHANGES,
  title: 'is kept or refused truthfully when two faults come at once',
};
const floor = {file: FLOOR, title: 'holds at every step of any interleaving'};

function proved(...tests: readonly TestReference[]): Cell {
  return {kind: 'proved', tests};
}

function cannot(why: string): Cell {
  return {kind: 'cannot', why};
}

function open(what: string): Cell {
  return {kind: 'open', what};
}

const NO_UPSTREAM = cannot('upstreams take no part in it');
const NO_LOG = cannot('nothing in it waits for the log');
const AS_CHANGE = proved(change);

/** All rows. */
export const FAULT_MATRIX: readonly FaultRow[] = [
  {
    fault: 'gray errors',
    cells: {
      'a call': proved(single),
      'a configuration change': NO_UPSTREAM,
      'an ejection': proved({
        file: DETECTOR,
        title: 'condemns an upstream that fails every call',
      }),
      'a drain': proved(pair),
      'a planned stop': proved(pair),
    },
  },
  {
    fault: 'slowness',
    cells: {
      'a call': proved(single),
      'a configuration change': NO_UPSTREAM,
      'an ejection': proved({
        file: DETECTOR,
        title: 'condemns an upstream that is slow',
      }),
      'a drain': proved(pair),
      'a planned stop': proved(pair),
    },
  },
  {
    fault: 'flapping',
    cells: {
      'a call': open('the call sees it as errors; not as a row of its own'),
      'a configuration change': NO_UPSTREAM,
      'an ejection': proved({
        file: CYCLE,
        title: 'is held longer and longer when it flaps',
      }),
      'a drain': open('no test'),
      'a planned stop': open('no test'),
    },
  },
  {
    fault: 'one-way cut towards the guard',
    cells: {
      'a call': proved(single),
      'a configuration change': AS_CHANGE,
      'an ejection': proved(floor, {
        file: FLOOR,
        title: 'counts until its guard has moved on, though its grant was lost',
      }),
      'a drain': proved(pair),
      'a planned stop': proved(pair),
    },
  },
  {
    fault: 'one-way cut from the guard',
    cells: {
      'a call': proved(single),
      'a configuration change': AS_CHANGE,
      'an ejection': proved(floor),
      'a drain': proved(pair),
      'a planned stop': proved(pair),
    },
  },
  {
    fault: 'log down',
    cells: {
      'a call': NO_LOG,
      'a configuration change': proved(change, restart),
      'an ejection': proved(floor, {
        file: FLOOR,
        title:
          'is not taken by a restarted guard that has not read the holders',
      }),
      'a drain': AS_CHANGE,
      'a planned stop': NO_LOG,
    },
  },
  {
    fault: 'log slow',
    cells: {
      'a call': NO_LOG,
      'a configuration change': proved(change, restart),
      'an ejection': open('a claim of the permits that is slow to be read'),
      'a drain': AS_CHANGE,
      'a planned stop': NO_LOG,
    },
  },
  {
    fault: 'append confirmed late or never',
    cells: {
      'a call': NO_LOG,
      'a configuration change': proved(change, {
        file: SPREAD,
        title:
          'finds a change whose confirmation was lost by reading, appending it once',
      }),
      'an ejection': open('a claim of the permits whose confirmation is lost'),
      'a drain': AS_CHANGE,
      'a planned stop': NO_LOG,
    },
  },
  {
    fault: 'retention overtaking a reader',
    cells: {
      'a call': NO_LOG,
      'a configuration change': proved(change, {
        file: SPREAD,
        title:
          'starts from a snapshot when the log has forgotten the first records',
      }),
      'an ejection': open('the holders stream forgotten; claims are made anew'),
      'a drain': AS_CHANGE,
      'a planned stop': NO_LOG,
    },
  },
  {
    fault: 'log restored from an older copy',
    cells: {
      'a call': NO_LOG,
      'a configuration change': proved(
        {
          file: RESTORED,
          title:
            'stays in force everywhere, and comes into force where nodes start after',
        },
        {file: RESTORED, title: 'is accepted and in force everywhere'},
        {
          file: RESTORED,
          title:
            'keeps an earlier one out only where both change the same, and operators hear so',
        },
        {
          file: RESTORED,
          title: 'agrees again, and no accepted change is lost without a word',
        },
      ),
      'an ejection': proved(
        {
          file: FLOOR,
          title: 'holds though offsets of claims are given out again',
        },
        {
          file: FLOOR,
          title:
            'is not taken once the log was restored and another has its offset',
        },
      ),
      'a drain': proved({
        file: RESTORED,
        title: 'is written again once, not by every node',
      }),
      'a planned stop': NO_LOG,
    },
  },
  {
    fault: 'paused holder',
    cells: {
      'a call': proved(single),
      'a configuration change': cannot('no one holds anything in it'),
      'an ejection': proved(floor, {
        file: FLOOR,
        title: 'of a paused holder is not taken once a later fence is known',
      }),
      'a drain': proved(pair),
      'a planned stop': proved(pair),
    },
  },
  {
    fault: 'racing operators',
    cells: {
      'a call': cannot('a call keeps the version it started with'),
      'a configuration change': proved(
        {
          file: SPREAD,
          title: 'gives racing operators one winner, the same everywhere',
        },
        {file: OPERATORS, title: 'tells the loser of a race who won'},
      ),
      'an ejection': open('a floor raised while permits are out'),
      'a drain': open('two drains that together would break the floor'),
      'a planned stop': cannot('operators take no part in it'),
    },
  },
  {
    fault: 'box replaced',
    cells: {
      'a call': proved(single),
      'a configuration change': proved(change, restart),
      'an ejection': proved(floor),
      'a drain': proved(pair),
      'a planned stop': proved(pair),
    },
  },
  {
    fault: 'box list lagging',
    cells: {
      'a call': cannot('routes by the members, not by the list'),
      'a configuration change': open('a node that only the list knows'),
      'an ejection': cannot('goes by reports, not by the list'),
      'a drain': cannot('goes by the configuration, not by the list'),
      'a planned stop': proved({
        file: GUARD,
        title: 'finishes what is queued when it drains, and takes nothing new',
      }),
    },
  },
  {
    fault: 'data centre lost or cut off',
    cells: {
      'a call': proved({
        file: 'packages/routing/src/__tests__/routing.test.ts',
        title: 'routes around a guard that was silent twice, for a while',
      }),
      'a configuration change': proved(change, restart, {
        file: MEMBERS,
        title: 'joins the two sides of a cut again once it heals',
      }),
      'an ejection': proved(
        {
          file: HOLDER,
          title: 'counts drained, silent and unknown upstreams as lost',
        },
        {
          file: HOLDER,
          title: 'calls back the least sick when too much is lost',
        },
      ),
      'a drain': AS_CHANGE,
      'a planned stop': open('no test'),
    },
  },
  {
    fault: 'two at once',
    cells: {
      'a call': proved(pair),
      'a configuration change': proved(pairOfChange),
      'an ejection': proved(floor),
      'a drain': proved(pair),
      'a planned stop': proved(pair),
    },
  },
];
