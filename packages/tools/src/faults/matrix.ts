// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Maps each fault, at each step, to the tests that inject it. */

/** Operations that a fault can interrupt; the columns of the matrix. */
export const STEPS = [
  'a call',
  'a configuration change',
  'an ejection',
  'a drain',
  'a planned stop',
] as const;

/** One column. */
export type Step = (typeof STEPS)[number];

/** A test, by its file and the beginning of its title in the source. */
export interface TestReference {
  readonly file: string;
  readonly title: string;
}

/** Test coverage of one fault at one step. */
export type Cell =
  | {readonly kind: 'covered'; readonly tests: readonly TestReference[]}
  | {readonly kind: 'not-applicable'; readonly why: string}
  | {readonly kind: 'open'; readonly what: string};

/** One fault and its coverage at each step. */
export interface FaultRow {
  readonly fault: string;
  readonly cells: Readonly<Record<Step, Cell>>;
}

const BRAIN_TESTS = 'packages/brain/src/__tests__';
const CALL_FAULTS = `${BRAIN_TESTS}/callFaults.test.ts`;
const CHANGE_FAULTS = `${BRAIN_TESTS}/changeFaults.test.ts`;
const CONFIGURATION_SPREAD = `${BRAIN_TESTS}/configurationSpreads.test.ts`;
const FLOOR = `${BRAIN_TESTS}/floorIsKept.test.ts`;
const GUARD = `${BRAIN_TESTS}/guardBrain.test.ts`;
const DETECTOR = 'packages/detection/src/__tests__/grayDetector.test.ts';
const EJECTION_CYCLE = 'packages/detection/src/__tests__/ejectionCycle.test.ts';
const PERMIT_HOLDER = 'packages/floor/src/__tests__/permitHolder.test.ts';
const MEMBERSHIP = 'packages/membership/src/__tests__/membership.test.ts';
const STATED_LIMIT = `${BRAIN_TESTS}/statedLimit.test.ts`;
const STATED_LEAVING = `${BRAIN_TESTS}/statedLeaving.test.ts`;
const RESTORED_LOG = `${BRAIN_TESTS}/restoredLog.test.ts`;
const OPERATORS = 'packages/tools/src/__tests__/operators.test.ts';

const singleFault = {
  file: CALL_FAULTS,
  title: 'stays true when %s, at every step',
};
const twoFaults = {
  file: CALL_FAULTS,
  title: 'stays true when %s and another fault comes too',
};
const faultDuringChange = {
  file: CHANGE_FAULTS,
  title: 'is kept or refused truthfully when $name',
};
const restartDuringChange = {
  file: CHANGE_FAULTS,
  title: 'comes to the same state when $name',
};
const twoFaultsDuringChange = {
  file: CHANGE_FAULTS,
  title: 'is kept or refused truthfully when two faults come at once',
};
const floorInterleavings = {
  file: FLOOR,
  title: 'holds at every step of any interleaving',
};

function covered(...tests: readonly TestReference[]): Cell {
  return {kind: 'covered', tests};
}

function notApplicable(why: string): Cell {
  return {kind: 'not-applicable', why};
}

function open(what: string): Cell {
  return {kind: 'open', what};
}

const NO_UPSTREAM = notApplicable('upstreams take no part in it');
const NO_LOG = notApplicable('nothing in it waits for the log');
const COVERED_AS_CHANGE = covered(faultDuringChange);

/** All rows of the matrix. */
export const FAULT_MATRIX: readonly FaultRow[] = [
  {
    fault: 'gray errors',
    cells: {
      'a call': covered(singleFault),
      'a configuration change': NO_UPSTREAM,
      'an ejection': covered({
        file: DETECTOR,
        title: 'condemns an upstream that fails every call',
      }),
      'a drain': covered(twoFaults),
      'a planned stop': covered(twoFaults),
    },
  },
  {
    fault: 'slowness',
    cells: {
      'a call': covered(singleFault),
      'a configuration change': NO_UPSTREAM,
      'an ejection': covered({
        file: DETECTOR,
        title: 'condemns an upstream that is slow',
      }),
      'a drain': covered(twoFaults),
      'a planned stop': covered(twoFaults),
    },
  },
  {
    fault: 'flapping',
    cells: {
      'a call': open('the call sees it as errors; not as a row of its own'),
      'a configuration change': NO_UPSTREAM,
      'an ejection': covered({
        file: EJECTION_CYCLE,
        title: 'is held longer and longer when it flaps',
      }),
      'a drain': open('no test'),
      'a planned stop': open('no test'),
    },
  },
  {
    fault: 'one-way cut towards the guard',
    cells: {
      'a call': covered(singleFault),
      'a configuration change': COVERED_AS_CHANGE,
      'an ejection': covered(floorInterleavings, {
        file: FLOOR,
        title: 'counts until its guard has moved on, though its grant was lost',
      }),
      'a drain': covered(twoFaults),
      'a planned stop': covered(twoFaults),
    },
  },
  {
    fault: 'one-way cut from the guard',
    cells: {
      'a call': covered(singleFault),
      'a configuration change': COVERED_AS_CHANGE,
      'an ejection': covered(floorInterleavings),
      'a drain': covered(twoFaults),
      'a planned stop': covered(twoFaults),
    },
  },
  {
    fault: 'log down',
    cells: {
      'a call': NO_LOG,
      'a configuration change': covered(faultDuringChange, restartDuringChange),
      'an ejection': covered(floorInterleavings, {
        file: FLOOR,
        title:
          'is not taken by a restarted guard that has not read the holders',
      }),
      'a drain': COVERED_AS_CHANGE,
      'a planned stop': NO_LOG,
    },
  },
  {
    fault: 'log slow',
    cells: {
      'a call': NO_LOG,
      'a configuration change': covered(faultDuringChange, restartDuringChange),
      'an ejection': open('a claim of the permits that is slow to be read'),
      'a drain': COVERED_AS_CHANGE,
      'a planned stop': NO_LOG,
    },
  },
  {
    fault: 'append confirmed late or never',
    cells: {
      'a call': NO_LOG,
      'a configuration change': covered(faultDuringChange, {
        file: CONFIGURATION_SPREAD,
        title:
          'finds a change whose confirmation was lost by reading, appending it once',
      }),
      'an ejection': open('a claim of the permits whose confirmation is lost'),
      'a drain': COVERED_AS_CHANGE,
      'a planned stop': NO_LOG,
    },
  },
  {
    fault: 'retention overtaking a reader',
    cells: {
      'a call': NO_LOG,
      'a configuration change': covered(faultDuringChange, {
        file: CONFIGURATION_SPREAD,
        title:
          'starts from a snapshot when the log has forgotten the first records',
      }),
      'an ejection': open('the holders stream forgotten; claims are made anew'),
      'a drain': COVERED_AS_CHANGE,
      'a planned stop': NO_LOG,
    },
  },
  {
    fault: 'log restored from an older copy',
    cells: {
      'a call': NO_LOG,
      'a configuration change': covered(
        {
          file: RESTORED_LOG,
          title:
            'stays in force everywhere, and comes into force where nodes start after',
        },
        {file: RESTORED_LOG, title: 'is accepted and in force everywhere'},
        {
          file: RESTORED_LOG,
          title:
            'keeps an earlier one out only where both change the same, and operators hear so',
        },
        {
          file: RESTORED_LOG,
          title: 'agrees again, and no accepted change is lost without a word',
        },
      ),
      'an ejection': covered(
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
      'a drain': covered({
        file: RESTORED_LOG,
        title: 'is written again once, not by every node',
      }),
      'a planned stop': NO_LOG,
    },
  },
  {
    fault: 'paused holder',
    cells: {
      'a call': covered(singleFault),
      'a configuration change': notApplicable('no one holds anything in it'),
      'an ejection': covered(floorInterleavings, {
        file: FLOOR,
        title: 'of a paused holder is not taken once a later fence is known',
      }),
      'a drain': covered(twoFaults),
      'a planned stop': covered(twoFaults),
    },
  },
  {
    fault: 'racing operators',
    cells: {
      'a call': notApplicable('a call keeps the version it started with'),
      'a configuration change': covered(
        {
          file: CONFIGURATION_SPREAD,
          title: 'gives racing operators one winner, the same everywhere',
        },
        {file: OPERATORS, title: 'tells the loser of a race who won'},
      ),
      'an ejection': open('a floor raised while permits are out'),
      'a drain': open('two drains that together would break the floor'),
      'a planned stop': notApplicable('operators take no part in it'),
    },
  },
  {
    fault: 'box replaced',
    cells: {
      'a call': covered(singleFault),
      'a configuration change': covered(faultDuringChange, restartDuringChange),
      'an ejection': covered(floorInterleavings),
      'a drain': covered(twoFaults),
      'a planned stop': covered(twoFaults),
    },
  },
  {
    fault: 'box list lagging',
    cells: {
      'a call': notApplicable('routes by the members, not by the list'),
      'a configuration change': open('a node that only the list knows'),
      'an ejection': notApplicable('goes by reports, not by the list'),
      'a drain': notApplicable('goes by the configuration, not by the list'),
      'a planned stop': covered({
        file: GUARD,
        title: 'finishes what is queued when it drains, and takes nothing new',
      }),
    },
  },
  {
    fault: 'data centre lost or cut off',
    cells: {
      'a call': covered({
        file: 'packages/routing/src/__tests__/routing.test.ts',
        title: 'routes around a guard that was silent twice, for a while',
      }),
      'a configuration change': covered(
        faultDuringChange,
        restartDuringChange,
        {
          file: MEMBERSHIP,
          title: 'joins the two sides of a cut again once it heals',
        },
      ),
      'an ejection': covered(
        {
          file: PERMIT_HOLDER,
          title: 'counts drained, silent and unknown upstreams as lost',
        },
        {
          file: PERMIT_HOLDER,
          title: 'calls back the least sick when too much is lost',
        },
      ),
      'a drain': COVERED_AS_CHANGE,
      'a planned stop': open('no test'),
    },
  },
  {
    fault: 'stated limit of requests',
    cells: {
      'a call': covered(
        singleFault,
        {
          file: STATED_LIMIT,
          title: 'refuses calls beyond it and says when to come back',
        },
        {file: STATED_LIMIT, title: 'follows a limit that %s'},
        {
          file: STATED_LIMIT,
          title: 'learns the limit from an entry and allows one call at first',
        },
      ),
      'a configuration change': NO_UPSTREAM,
      'an ejection': covered({
        file: STATED_LIMIT,
        title:
          'keeps it for first attempts, retries, probes and calls without a choice',
      }),
      'a drain': covered(twoFaults),
      'a planned stop': covered(twoFaults),
    },
  },
  {
    fault: 'stated departure',
    cells: {
      'a call': covered(
        singleFault,
        {file: STATED_LEAVING, title: 'refuses new calls of every kind'},
        {
          file: STATED_LEAVING,
          title: 'learns from an entry that the upstream is leaving',
        },
      ),
      'a configuration change': NO_UPSTREAM,
      'an ejection': covered({
        file: STATED_LEAVING,
        title: 'refuses new calls of every kind',
      }),
      'a drain': covered(twoFaults),
      'a planned stop': covered(twoFaults),
    },
  },
  {
    fault: 'two at once',
    cells: {
      'a call': covered(twoFaults),
      'a configuration change': covered(twoFaultsDuringChange),
      'an ejection': covered(floorInterleavings),
      'a drain': covered(twoFaults),
      'a planned stop': covered(twoFaults),
    },
  },
];
