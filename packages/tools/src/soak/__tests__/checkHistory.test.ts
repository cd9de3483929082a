// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The checks of a soak report each violated guarantee and nothing else. */

import {describe, expect, it} from 'vitest';
import {checkHistory} from '../checkHistory.js';
import {SOAK_BOUNDS} from '../runSoak.js';
import type {CallEnd, CallRecord, SoakHistory} from '../soakHistory.js';

const SERVED: CallEnd = {
  kind: 'answered',
  status: 200,
  saysNotRun: false,
  hasProof: true,
  requestId: 'q1',
  body: 'answer q1',
  statesLimit: false,
  statesLeaving: false,
};

const CALL: CallRecord = {
  requestId: 'q1',
  box: 'box-1',
  service: 'shop',
  isRepeatable: false,
  timeoutMilliseconds: 1000,
  sentAt: 10_000,
  endedAt: 10_050,
  end: SERVED,
};

const RUN = {requestId: 'q1', lifetime: 'i-1', at: 10_010} as const;
const ARRIVAL = {...RUN, service: 'shop'} as const;

/** A history in which every guarantee holds. */
const VALID_HISTORY: SoakHistory = {
  calls: [CALL],
  runs: [RUN],
  arrivals: [ARRIVAL],
  drains: [],
  limits: [],
  upstreams: [],
  versionProbes: [],
  versions: [{version: 1, confirmedAt: 0}],
  disruptions: [],
  stops: [],
  unexpectedExits: [],
  stalls: [],
  steadyStateFrom: 9000,
  readyLifetimes: ['i-1'],
};

function violatedGuarantees(change: Partial<SoakHistory>): readonly string[] {
  const history = {...VALID_HISTORY, ...change};
  return checkHistory(history, SOAK_BOUNDS, (id) => `answer ${id}`).map(
    ({guarantee}) => guarantee,
  );
}

function withEnd(end: CallEnd, change: Partial<CallRecord> = {}): SoakHistory {
  // Further calls are served, so that only the end of the first can violate.
  const served = Array.from({length: 40}, () => ({
    ...CALL,
    isRepeatable: true,
  }));
  return {...VALID_HISTORY, calls: [{...CALL, ...change, end}, ...served]};
}

const REFUSED: CallEnd = {
  ...SERVED,
  status: 503,
  saysNotRun: true,
  hasProof: false,
  body: '',
};

describe('the checks of a soak', () => {
  it('report nothing when every guarantee holds', () => {
    expect(violatedGuarantees({})).toEqual([]);
  });

  it('report a call that ran twice, unless it is repeatable', () => {
    const runs = [RUN, {...RUN, lifetime: 'i-2'}];
    expect(violatedGuarantees({runs})).toEqual(['at most once']);
    const calls = [{...CALL, isRepeatable: true}];
    expect(violatedGuarantees({runs, calls})).toEqual([]);
  });

  it('report a refusal of a call that ran, even if it ran later', () => {
    const runs = [{...RUN, at: 20_000}];
    expect(violatedGuarantees({...withEnd(REFUSED), runs})).toEqual([
      'truthful refusals',
    ]);
    expect(violatedGuarantees({...withEnd(REFUSED), runs: []})).toEqual([]);
  });

  it.each([
    ['a truncated body', {...SERVED, body: 'answ'}, 'complete answers'],
    ['a missing proof', {...SERVED, hasProof: false}, 'complete answers'],
    ['a status of 600', {...SERVED, status: 600}, 'answers in HTTP'],
    [
      'the answer to another request',
      {...SERVED, requestId: 'q2'},
      'matching answers',
    ],
  ] as const)('report %s', (_name, end, guarantee) => {
    expect(violatedGuarantees(withEnd(end))).toEqual([guarantee]);
  });

  it('report an answer after the timeout of its route, unless disrupted', () => {
    const lateAnswer = withEnd(SERVED, {endedAt: 11_600});
    expect(violatedGuarantees(lateAnswer)).toEqual(['time limits']);
    const disruptions = [
      {
        box: 'box-1',
        isPlanned: false,
        what: 'pause',
        from: 10_100,
        until: 10_200,
      },
    ];
    expect(violatedGuarantees({...lateAnswer, disruptions})).toEqual([]);
  });

  it('report a broken call that ran, but not one that raced with the stop', () => {
    const broken: CallEnd = {kind: 'broken', hadBegun: false};
    expect(violatedGuarantees(withEnd(broken))).toEqual(['no lost calls']);
    expect(violatedGuarantees({...withEnd(broken), runs: []})).toEqual([]);
  });

  it('report a broken answer that had begun, unless any box was disrupted', () => {
    const broken = withEnd({kind: 'broken', hadBegun: true}, {endedAt: 10_150});
    expect(violatedGuarantees(broken)).toEqual(['no lost calls']);
    const disruption = {box: 'box-2', from: 10_100, until: 10_200};
    const stop = {...disruption, isPlanned: true, what: 'stop'};
    expect(violatedGuarantees({...broken, disruptions: [stop]})).toEqual([
      'no lost calls',
    ]);
    const kill = {...disruption, isPlanned: false, what: 'kill'};
    expect(violatedGuarantees({...broken, disruptions: [kill]})).toEqual([]);
    const cutElsewhere = {
      box: 'box-3',
      signalledAt: 10_040,
      exitedAt: 10_160,
      exitCode: 1,
      wasKilled: false,
    };
    const unrelated = {...broken, stops: [cutElsewhere]};
    expect(violatedGuarantees(unrelated)).toContain('no lost calls');
    const unbegun = withEnd(
      {kind: 'broken', hadBegun: false},
      {endedAt: 10_150},
    );
    expect(violatedGuarantees({...unbegun, disruptions: [kill]})).toEqual([
      'no lost calls',
    ]);
  });

  it('report a planned stop with a failing exit code and an unexpected exit', () => {
    const stop = {
      box: 'box-1',
      signalledAt: 100,
      exitedAt: 200,
      exitCode: 1,
      wasKilled: false,
    };
    expect(violatedGuarantees({stops: [stop]})).toEqual(['planned stops']);
    const reading = withEnd(
      {kind: 'broken', hadBegun: true},
      {endedAt: 10_150},
    );
    const cutStop = {...stop, signalledAt: 10_050, exitedAt: 10_100};
    const disruptions = [
      {
        box: 'box-2',
        isPlanned: false,
        what: 'kill',
        from: 10_000,
        until: 10_200,
      },
    ];
    const cut = {...reading, disruptions};
    expect(violatedGuarantees({...cut, stops: [cutStop]})).toEqual([]);
    const elsewhere = {...cutStop, box: 'box-3'};
    expect(violatedGuarantees({...cut, stops: [elsewhere]})).toEqual([
      'planned stops',
    ]);
    const upstream = {service: 'shop', readyFrom: 0, readyUntil: 1e9};
    const upstreams = [{...upstream, lifetime: 'i-1', box: 'box-3'}];
    const throughIt = {...cut, upstreams, stops: [elsewhere]};
    expect(violatedGuarantees(throughIt)).toEqual([]);
    const crashed = {...cutStop, exitCode: 4};
    expect(violatedGuarantees({...cut, stops: [crashed]})).toEqual([
      'planned stops',
    ]);
    const unexpectedExits = [
      {box: 'box-1', at: 5, exitCode: null, signal: null, age: 5},
    ];
    expect(violatedGuarantees({unexpectedExits})).toEqual([
      'no unexpected exits',
    ]);
  });

  it('report calls that arrive too late after an acknowledged drain', () => {
    const drain = {lifetime: 'i-1', box: 'box-1'};
    const early = {...drain, acknowledgedAt: 8000};
    expect(violatedGuarantees({drains: [early]})).toEqual(['drains']);
    const recent = {...drain, acknowledgedAt: 9500};
    expect(violatedGuarantees({drains: [recent]})).toEqual([]);
  });

  it('report a version that is not in force in time and a version rollback', () => {
    const asked = {box: 'box-1', life: 1, version: 1};
    const unknown = {...asked, sentAt: 5000, endedAt: 5010, isKnown: false};
    expect(violatedGuarantees({versionProbes: [unknown]})).toEqual([
      'versions in force',
    ]);
    const versionProbes = [
      {...asked, version: 2, sentAt: 5000, endedAt: 5001, isKnown: true},
      {...asked, sentAt: 6000, endedAt: 6001, isKnown: true},
    ];
    expect(violatedGuarantees({versionProbes})).toEqual([
      'no version rollback',
    ]);
    const restarted = versionProbes.map((probe, life) => ({...probe, life}));
    expect(violatedGuarantees({versionProbes: restarted})).toEqual([]);
  });

  it('report a version that is late though its box hears no other box', () => {
    const probe = {box: 'box-1', life: 1, version: 1, isKnown: false};
    const versionProbes = [{...probe, sentAt: 9000, endedAt: 9010}];
    const disruption = {box: '', isPlanned: false};
    const isolation = {
      ...disruption,
      what: 'isolation',
      from: 0,
      until: 20_000,
    };
    const silence = {...disruption, what: 'silent', from: 4000, until: 5900};
    expect(
      violatedGuarantees({versionProbes, disruptions: [isolation, silence]}),
    ).toEqual(['versions in force']);
    const longer = {...silence, until: 6100};
    expect(
      violatedGuarantees({versionProbes, disruptions: [isolation, longer]}),
    ).toEqual([]);
  });

  it('report more retries in a window than the retry budget allows', () => {
    const arrivals = Array.from({length: 60}, (_, i) => ({
      ...ARRIVAL,
      at: 10_010 + i,
    }));
    expect(violatedGuarantees({arrivals})).toEqual(['retry budget']);
    expect(violatedGuarantees({arrivals: arrivals.slice(5)})).toEqual([]);
    // Calls of the windows that end with the retries do not cover a later one.
    const calls = Array.from({length: 100}, () => CALL);
    expect(violatedGuarantees({arrivals, calls})).toEqual(['retry budget']);
  });

  describe('of what upstreams state', () => {
    const limit = {
      lifetime: 'i-1',
      box: 'box-9',
      requestsPerSecond: 2,
      from: 10_000,
      until: Number.POSITIVE_INFINITY,
    };

    /** Calls every 200 ms, all answered with the given statements. */
    function statedHistory(
      statements: Partial<CallEnd>,
      change: Partial<SoakHistory> = {},
    ): Partial<SoakHistory> {
      const ids = Array.from({length: 60}, (_, i) => i);
      return {
        calls: ids.map((i) => ({
          ...CALL,
          requestId: `q${i}`,
          sentAt: 10_000 + 200 * i,
          endedAt: 10_050 + 200 * i,
          end: {
            ...SERVED,
            requestId: `q${i}`,
            body: `answer q${i}`,
            ...statements,
          } as CallEnd,
        })),
        runs: [],
        arrivals: ids.map((i) => ({
          ...ARRIVAL,
          requestId: `q${i}`,
          at: 10_010 + 200 * i,
        })),
        ...change,
      };
    }

    it('report more requests than a stated limit allows', () => {
      const limits = [limit];
      const history = statedHistory({statesLimit: true}, {limits});
      expect(violatedGuarantees(history)).toEqual(['stated limits']);
      const higher = {limits: [{...limit, requestsPerSecond: 3}]};
      expect(violatedGuarantees({...history, ...higher})).toEqual([]);
    });

    it('report no requests of boxes that relayed no notice', () => {
      const history = statedHistory({statesLimit: false}, {limits: [limit]});
      expect(violatedGuarantees(history)).toEqual([]);
    });

    it('report requests from a box that relayed that the upstream is leaving', () => {
      const history = statedHistory({statesLeaving: true});
      const violated = violatedGuarantees(history);
      expect(new Set(violated)).toEqual(new Set(['stated departures']));
    });

    it.each(['kill', 'stop', 'pause'])('excuse a box after a %s', (what) => {
      const disruptions = Array.from({length: 12}, (_, i) => ({
        box: 'box-1',
        isPlanned: true,
        what,
        from: 10_900 + 1000 * i,
        until: 10_901 + 1000 * i,
      }));
      const history = statedHistory({statesLeaving: true}, {disruptions});
      expect(violatedGuarantees(history)).toEqual([]);
    });
  });

  it('report unserved calls and idle upstreams in steady state', () => {
    expect(
      violatedGuarantees({calls: [{...CALL, end: REFUSED}], runs: []}),
    ).toEqual(['recovery']);
    expect(violatedGuarantees({readyLifetimes: ['i-1', 'i-2']})).toEqual([
      'recovery',
    ]);
  });
});
