// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The check of a soak for healthy upstreams without calls. */

import {describe, expect, it} from 'vitest';
import {checkUse} from '../checkUse.js';
import type {UseHistory} from '../checkUse.js';
import {SOAK_BOUNDS} from '../runSoak.js';
import type {CallEnd, CallRecord} from '../soakHistory.js';

const UPSTREAMS = ['a', 'b', 'c', 'd'];
const CALLS = 100;
const CALL_INTERVAL_MILLISECONDS = 30;
const START = 10_000;

function end(isServed: boolean): CallEnd {
  return {
    kind: 'answered',
    status: isServed ? 200 : 503,
    saysNotRun: !isServed,
    hasProof: isServed,
    requestId: undefined,
    body: '',
    statesLimit: false,
    statesLeaving: false,
  };
}

/** Calls of which each nth fails, all others spread over some upstreams. */
function history(
  failsEvery: number,
  used: readonly string[],
  change: Partial<UseHistory> = {},
): UseHistory {
  const calls = Array.from({length: CALLS}, (_, i): CallRecord => {
    const sentAt = START + i * CALL_INTERVAL_MILLISECONDS;
    return {
      requestId: `q${i}`,
      box: 'a',
      service: 's',
      isRepeatable: false,
      timeoutMilliseconds: 1000,
      sentAt,
      endedAt: sentAt + 50,
      end: end(i % failsEvery !== 0),
    };
  });
  return {
    calls,
    arrivals: calls.map(({requestId, sentAt}, i) => ({
      requestId,
      lifetime: used[i % used.length] ?? '',
      service: 's',
      at: sentAt + 5,
    })),
    disruptions: [],
    limits: [],
    upstreams: UPSTREAMS.map((box) => ({
      lifetime: box,
      box,
      service: 's',
      readyFrom: 0,
      readyUntil: Number.POSITIVE_INFINITY,
    })),
    ...change,
  };
}

describe('the check of used upstreams', () => {
  it('reports healthy upstreams without calls while a fifth of the calls fail', () => {
    expect(checkUse(history(5, ['a', 'b']), SOAK_BOUNDS)).toMatchObject([
      {guarantee: 'upstreams in use', subject: 's'},
    ]);
  });

  it('passes if three of four get calls', () => {
    expect(checkUse(history(5, ['a', 'b', 'c']), SOAK_BOUNDS)).toEqual([]);
  });

  it('passes if hardly any calls fail', () => {
    expect(checkUse(history(20, ['a', 'b']), SOAK_BOUNDS)).toEqual([]);
  });

  it('does not expect calls at upstreams whose boxes are disrupted', () => {
    const disruptions = ['c', 'd'].map((box) => ({
      box,
      isPlanned: false,
      what: 'kill',
      from: START - 1000,
      until: START,
    }));
    expect(
      checkUse(history(5, ['a', 'b'], {disruptions}), SOAK_BOUNDS),
    ).toEqual([]);
  });
});
