// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Subsets, the choice of an upstream, and the retry budget. */

import {describe, expect, it} from 'vitest';
import {seededRandom} from '@lockpin/utils';
import {chooseSubset} from '../chooseSubset.js';
import {chooseUpstream} from '../chooseUpstream.js';
import {RetryBudget} from '../retryBudget.js';
import {UpstreamLoads} from '../upstreamLoads.js';

function upstreams(count: number, dataCentres = 1) {
  return Array.from({length: count}, (_, i) => ({
    name: `u${i}`,
    dataCentre: `d${i % dataCentres}`,
    slots: 4,
  }));
}

function context(loads: UpstreamLoads, now = 0) {
  return {now, random: seededRandom(1), dataCentre: 'd0', loads};
}

describe('chooseSubset', () => {
  it('changes at most one member when an upstream is removed', () => {
    const all = upstreams(40);
    const before = chooseSubset('entry', 'd0', all);
    for (const removed of all) {
      const rest = all.filter((item) => item !== removed);
      const after = chooseSubset('entry', 'd0', rest);
      const kept = after.filter((item) => before.includes(item));
      expect(kept.length).toBeGreaterThanOrEqual(before.length - 1);
    }
  });

  it('spreads entries over the upstreams', () => {
    const all = upstreams(40);
    const counts = new Map<string, number>();
    for (let i = 0; i < 400; i += 1) {
      for (const {name} of chooseSubset(`entry-${i}`, 'd0', all)) {
        counts.set(name, (counts.get(name) ?? 0) + 1);
      }
    }
    expect(Math.min(...counts.values())).toBeGreaterThan(40);
    expect(Math.max(...counts.values())).toBeLessThan(130);
  });
});

describe('chooseUpstream', () => {
  it('prefers its own data centre until the upstreams there are full', () => {
    const loads = new UpstreamLoads();
    const all = upstreams(4, 2);
    expect(chooseUpstream(context(loads), all)?.dataCentre).toBe('d0');
    for (const name of ['u0', 'u2']) {
      Array.from({length: 4}, () => loads.sent(name));
    }
    expect(chooseUpstream(context(loads), all)?.dataCentre).toBe('d1');
  });

  it('takes the less occupied of two upstreams', () => {
    const loads = new UpstreamLoads();
    loads.sent('u0');
    const chosen = chooseUpstream(context(loads), upstreams(2));
    expect(chosen?.name).toBe('u1');
  });

  it('routes around a guard that was silent twice, for a while', () => {
    const loads = new UpstreamLoads();
    loads.linkFailed('u0', 0, 0.5);
    expect(loads.isAvoided('u0', 1)).toBe(false);
    loads.linkFailed('u0', 0, 0.5);
    expect(loads.isAvoided('u0', 1)).toBe(true);
    expect(loads.isAvoided('u0', 2000)).toBe(false);
  });

  it('counts offers in flight that fail on one broken link once', () => {
    const loads = new UpstreamLoads({
      failuresToAvoid: 1,
      firstAvoidanceMilliseconds: 500,
      longestAvoidanceMilliseconds: 4000,
    });
    for (let i = 0; i < 6; i += 1) {
      loads.linkFailed('u0', i, 0.5);
    }
    expect(loads.isAvoided('u0', 499)).toBe(true);
    expect(loads.isAvoided('u0', 501)).toBe(false);
    loads.linkFailed('u0', 600, 0.5);
    expect(loads.isAvoided('u0', 1599)).toBe(true);
    expect(loads.isAvoided('u0', 1601)).toBe(false);
  });

  // Guards against pauses that grow with calls from before them that end late.
  it('counts offers from before a pause once, although they fail after it', () => {
    const loads = new UpstreamLoads({
      failuresToAvoid: 1,
      firstAvoidanceMilliseconds: 500,
      longestAvoidanceMilliseconds: 4000,
    });
    loads.linkFailed('u0', 100, 0.5, 50);
    loads.linkFailed('u0', 700, 0.5, 90);
    expect(loads.isAvoided('u0', 701)).toBe(false);
    loads.linkFailed('u0', 800, 0.5, 750);
    expect(loads.isAvoided('u0', 1799)).toBe(true);
    loads.reportedMissing('u1', 100, 50);
    loads.reportedMissing('u1', 500, 90);
    expect(loads.isAvoided('u1', 501)).toBe(false);
    loads.reportedMissing('u1', 600, 550);
    expect(loads.isAvoided('u1', 1199)).toBe(true);
  });

  it('counts offers in flight that find no upstream once', () => {
    const loads = new UpstreamLoads();
    for (let i = 0; i < 6; i += 1) {
      loads.reportedMissing('u0', i);
    }
    expect(loads.isAvoided('u0', 299)).toBe(true);
    expect(loads.isAvoided('u0', 301)).toBe(false);
  });

  it('takes an avoided upstream when there is no other', () => {
    const loads = new UpstreamLoads();
    loads.linkFailed('u0', 0, 0.5);
    loads.linkFailed('u0', 0, 0.5);
    expect(chooseUpstream(context(loads, 1), upstreams(1))?.name).toBe('u0');
  });
});

describe('RetryBudget', () => {
  it('allows no more retries than its share of calls', () => {
    const budget = new RetryBudget();
    let retries = 0;
    for (let i = 0; i < 1000; i += 1) {
      budget.firstAttempt(0, 0.1);
      retries += budget.takeRetry() ? 1 : 0;
    }
    expect(retries).toBeLessThanOrEqual(101);
    expect(retries).toBeGreaterThan(95);
  });
});
