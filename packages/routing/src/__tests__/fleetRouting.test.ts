// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Routing by score, retry budgets and typical durations. */

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {seededRandom} from '@lockpin/utils';
import {chooseByScore} from '../chooseByScore.js';
import type {RoutingCandidate, RoutingContext} from '../chooseUpstream.js';
import {TypicalDurations} from '../typicalDurations.js';
import {UpstreamLoads} from '../upstreamLoads.js';
import {WindowedRetryBudget} from '../windowedRetryBudget.js';

const FIRST_FAILURE_AVOIDS = {
  failuresToAvoid: 1,
  firstAvoidanceMilliseconds: 500,
  longestAvoidanceMilliseconds: 4000,
};

const NOW = 1000;

function candidate(
  name: string,
  change: Partial<RoutingCandidate> = {},
): RoutingCandidate {
  return {name, box: name, dataCentre: 'd1', slots: 4, coldUntil: 0, ...change};
}

function context(change: Partial<RoutingContext> = {}): RoutingContext {
  return {
    now: NOW,
    random: () => 0,
    dataCentre: 'd1',
    box: 'own',
    loads: new UpstreamLoads(),
    mayProbe: false,
    ...change,
  };
}

describe('chooseByScore', () => {
  it('prefers its own box, then its own data centre', () => {
    const far = candidate('far', {dataCentre: 'd2'});
    const near = candidate('near');
    const own = candidate('own');
    expect(chooseByScore(context(), [far, near, own])).toBe(own);
    expect(chooseByScore(context(), [far, near])).toBe(near);
  });

  it('leaves the data centre when its upstreams are full', () => {
    const loads = new UpstreamLoads();
    loads.hintReceived('near', NOW, {
      state: 'accepting',
      occupied: 4,
      limit: 4,
    });
    const far = candidate('far', {dataCentre: 'd2'});
    expect(chooseByScore(context({loads}), [candidate('near'), far])).toBe(far);
  });

  it('stays in the data centre while an upstream there has a free slot', () => {
    const far = Array.from({length: 20}, (_, i) =>
      candidate(`f${i}`, {dataCentre: 'd2'}),
    );
    const near = ['n1', 'n2'].map((name) => candidate(name));
    expect(near).toContain(chooseByScore(context(), [...far, ...near]));
  });

  it('does not assume that an upstream without hints is idle', () => {
    const loads = new UpstreamLoads();
    ['n1', 'n2', 'n3'].forEach((name) =>
      loads.hintReceived(name, NOW, {
        state: 'accepting',
        occupied: 4,
        limit: 4,
      }),
    );
    loads.hintReceived('n4', NOW, {state: 'accepting', occupied: 2, limit: 4});
    const all = ['unknown', 'n1', 'n2', 'n3', 'n4'].map((n) => candidate(n));
    expect(chooseByScore(context({loads}), all)?.name).toBe('n4');
    const later = context({loads, now: NOW + 60_000});
    expect(loads.occupation('n1', 4, later.now)).toBeLessThan(0.01);
  });

  it('explores an upstream without a recent hint unless its last call failed', () => {
    const loads = new UpstreamLoads();
    const isDue = (now: number): boolean =>
      loads.isDueForExploration('u', now, 0.5);
    expect(isDue(NOW)).toBe(true);
    loads.sent('u');
    expect(isDue(NOW)).toBe(false);
    loads.ended('u');
    loads.hintReceived('u', NOW, {state: 'accepting', occupied: 0, limit: 4});
    expect(isDue(NOW + 1900)).toBe(false);
    expect(isDue(NOW + 3000)).toBe(true);
    loads.recordOutcome('u', false);
    expect(isDue(NOW + 3000)).toBe(false);
  });

  it('tells why upstreams are not used', () => {
    const loads = new UpstreamLoads(FIRST_FAILURE_AVOIDS);
    const accepting = {state: 'accepting', occupied: 0, limit: 4} as const;
    loads.hintReceived('full', NOW, {...accepting, occupied: 4});
    loads.hintReceived('used', NOW, accepting);
    loads.hintReceived('idle', NOW - 2500, accepting);
    loads.hintReceived('doubted', NOW, {...accepting, state: 'doubted'});
    loads.reportedMissing('missing', NOW);
    loads.linkFailed('unreachable', NOW, 0.5);
    const names = 'full used idle doubted missing unreachable new'.split(' ');
    expect(names.map((name) => loads.unusedReason(name, NOW + 1))).toEqual([
      'full',
      undefined,
      'not-called',
      'doubted',
      'missing',
      'unreachable',
      'not-called',
    ]);
  });

  it('lets no part of the upstreams idle, from the first calls of a fleet on', () => {
    const all = Array.from({length: 40}, (_, i) => candidate(`u${i}`));
    const random = seededRandom(1);
    const chosen = new Set<string>();
    for (let entry = 0; entry < 30; entry += 1) {
      const loads = new UpstreamLoads();
      for (let call = 0; call < 5; call += 1) {
        const name = chooseByScore(context({loads, random}), all)?.name ?? '';
        loads.sent(name);
        chosen.add(name);
      }
    }
    expect(chosen.size).toBeGreaterThan(0.9 * all.length);
  });
});

describe('UpstreamLoads', () => {
  it('avoids a doubted upstream for the time given, and for less in probes', () => {
    const loads = new UpstreamLoads();
    loads.hintReceived('u', NOW, {
      state: 'doubted',
      occupied: 0,
      limit: 4,
      doubtedFor: 2000,
      probeIn: 400,
    });
    expect(loads.isAvoided('u', NOW + 500)).toBe(true);
    expect(loads.isAvoided('u', NOW + 399, true)).toBe(true);
    expect(loads.isAvoided('u', NOW + 400, true)).toBe(false);
    expect(loads.isAvoided('u', NOW + 2000)).toBe(false);
  });
});

describe('WindowedRetryBudget', () => {
  it('keeps a limit that operators lower while it runs', () => {
    let settings = {ratio: 1, windowMilliseconds: 1000, extra: 0};
    const budget = new WindowedRetryBudget(() => settings);
    for (let i = 0; i < 10; i += 1) {
      budget.firstAttempt(i);
    }
    expect(budget.takeRetry(10)).toBe(true);
    settings = {...settings, ratio: 0.1};
    expect(budget.takeRetry(11)).toBe(false);
  });

  it('keeps the limit in every window, whatever comes', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            pause: fc.integer({min: 0, max: 400}),
            isRetry: fc.boolean(),
          }),
          {maxLength: 200},
        ),
        (steps) => {
          const settings = {ratio: 0.2, windowMilliseconds: 1000, extra: 2};
          const budget = new WindowedRetryBudget(() => settings);
          let now = 0;
          const calls: number[] = [];
          const retries: number[] = [];
          for (const {pause, isRetry} of steps) {
            now += pause;
            if (!isRetry) {
              budget.firstAttempt(now);
              calls.push(now);
            } else if (budget.takeRetry(now)) {
              retries.push(now);
            }
          }
          for (const end of retries) {
            const inside = (time: number) => time > end - 1000 && time <= end;
            const limit = calls.filter(inside).length * 0.2 + 2;
            expect(retries.filter(inside).length).toBeLessThanOrEqual(limit);
          }
        },
      ),
    );
  });
});

describe('TypicalDurations', () => {
  it('stays near the median despite very long calls', () => {
    const durations = new TypicalDurations();
    for (let i = 0; i < 400; i += 1) {
      durations.add('kind', i % 10 === 0 ? 5000 : 80 + (i % 5) * 10);
    }
    const typical = durations.median('kind') ?? 0;
    expect(typical).toBeGreaterThan(75);
    expect(typical).toBeLessThan(140);
  });

  it('is undefined until there are enough samples', () => {
    const durations = new TypicalDurations();
    durations.add('kind', 10);
    expect(durations.median('kind')).toBeUndefined();
  });
});
