// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The checks of a soak find each broken promise, and nothing else. */

import {describe, expect, it} from 'vitest';
import {checkFacts} from '../checkFacts.js';
import {SOAK_BOUNDS} from '../runSoak.js';
import type {CallEnd, CallFact, SoakFacts} from '../soakFacts.js';

const GOOD: CallEnd = {
  kind: 'answered',
  status: 200,
  saysNotRun: false,
  hasProof: true,
  requestId: 'q1',
  body: 'answer q1',
};

const CALL: CallFact = {
  requestId: 'q1',
  box: 'box-1',
  service: 'shop',
  isRepeatable: false,
  timeoutMilliseconds: 1000,
  sentAt: 10_000,
  endedAt: 10_050,
  end: GOOD,
};

const RUN = {requestId: 'q1', lifetime: 'i-1', at: 10_010} as const;
const ARRIVAL = {...RUN, service: 'shop'} as const;

/** Facts in which every promise is kept. */
const KEPT: SoakFacts = {
  calls: [CALL],
  runs: [RUN],
  arrivals: [ARRIVAL],
  drains: [],
  markers: [],
  versions: [{version: 1, confirmedAt: 0}],
  troubles: [],
  stops: [],
  unasked: [],
  calmFrom: 9000,
  readyLifetimes: ['i-1'],
};

function brokenPromises(change: Partial<SoakFacts>): readonly string[] {
  const facts = {...KEPT, ...change};
  return checkFacts(facts, SOAK_BOUNDS, (id) => `answer ${id}`).map(
    ({promise}) => promise,
  );
}

function ending(end: CallEnd, change: Partial<CallFact> = {}): SoakFacts {
  // A second call that is served, so that the end of the first is all there is.
  const served = Array.from({length: 40}, () => ({
    ...CALL,
    isRepeatable: true,
  }));
  return {...KEPT, calls: [{...CALL, ...change, end}, ...served]};
}

const REFUSED: CallEnd = {
  ...GOOD,
  status: 503,
  saysNotRun: true,
  hasProof: false,
  body: '',
};

describe('the checks of a soak', () => {
  it('find nothing where every promise is kept', () => {
    expect(brokenPromises({})).toEqual([]);
  });

  it('find a call that ran twice, unless it may be repeated', () => {
    const runs = [RUN, {...RUN, lifetime: 'i-2'}];
    expect(brokenPromises({runs})).toEqual(['at most once']);
    const calls = [{...CALL, isRepeatable: true}];
    expect(brokenPromises({runs, calls})).toEqual([]);
  });

  it('find a refusal of a call that ran, even later', () => {
    const runs = [{...RUN, at: 20_000}];
    expect(brokenPromises({...ending(REFUSED), runs})).toEqual([
      'true refusals',
    ]);
    expect(brokenPromises({...ending(REFUSED), runs: []})).toEqual([]);
  });

  it.each([
    ['a body that is cut', {...GOOD, body: 'answ'}, 'whole answers'],
    ['no proof', {...GOOD, hasProof: false}, 'whole answers'],
    ['the answer of another', {...GOOD, requestId: 'q2'}, 'own answers'],
  ] as const)('find %s', (_name, end, promise) => {
    expect(brokenPromises(ending(end))).toEqual([promise]);
  });

  it('find an answer long after the time of its route, where all was calm', () => {
    const late = ending(GOOD, {endedAt: 11_600});
    expect(brokenPromises(late)).toEqual(['time limits']);
    const troubles = [
      {
        box: 'box-1',
        isPlanned: false,
        what: 'pause',
        from: 10_100,
        until: 10_200,
      },
    ];
    expect(brokenPromises({...late, troubles})).toEqual([]);
  });

  it('find a call that a planned stop cut off, but not one that crossed the end', () => {
    const broken: CallEnd = {kind: 'broken', hadBegun: false};
    expect(brokenPromises(ending(broken))).toEqual(['nothing lost']);
    expect(brokenPromises({...ending(broken), runs: []})).toEqual([]);
  });

  it('find a stop that did not end well, and an end that nobody asked for', () => {
    const stop = {
      box: 'box-1',
      signalledAt: 100,
      exitedAt: 200,
      exitCode: 1,
      wasKilled: false,
    };
    expect(brokenPromises({stops: [stop]})).toEqual(['planned stops']);
    const unasked = [{box: 'box-1', at: 5, exitCode: null}];
    expect(brokenPromises({unasked})).toEqual(['keeps running']);
  });

  it('find work that reached an upstream long after its drain was acknowledged', () => {
    const drain = {lifetime: 'i-1', box: 'box-1'};
    const early = {...drain, acknowledgedAt: 8000};
    expect(brokenPromises({drains: [early]})).toEqual(['drains']);
    const recent = {...drain, acknowledgedAt: 9500};
    expect(brokenPromises({drains: [recent]})).toEqual([]);
  });

  it('find a version that is not in force in time, and one that comes back', () => {
    const asked = {box: 'box-1', life: 1, version: 1};
    const unknown = {...asked, sentAt: 5000, endedAt: 5010, isKnown: false};
    expect(brokenPromises({markers: [unknown]})).toEqual(['versions in force']);
    const markers = [
      {...asked, version: 2, sentAt: 5000, endedAt: 5001, isKnown: true},
      {...asked, sentAt: 6000, endedAt: 6001, isKnown: true},
    ];
    expect(brokenPromises({markers})).toEqual(['no version goes back']);
    const restarted = markers.map((marker, life) => ({...marker, life}));
    expect(brokenPromises({markers: restarted})).toEqual([]);
  });

  it('find more repeats in a window than the fleet may make', () => {
    const arrivals = Array.from({length: 60}, (_, i) => ({
      ...ARRIVAL,
      at: 10_010 + i,
    }));
    expect(brokenPromises({arrivals})).toEqual(['retry budget']);
    expect(brokenPromises({arrivals: arrivals.slice(5)})).toEqual([]);
  });

  it('find calls that are not served, and upstreams that get none, at the end', () => {
    expect(
      brokenPromises({calls: [{...CALL, end: REFUSED}], runs: []}),
    ).toEqual(['recovery']);
    expect(brokenPromises({readyLifetimes: ['i-1', 'i-2']})).toEqual([
      'recovery',
    ]);
  });
});
