// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Choices, budgets and durations of a fleet whose guards reserve slots. */

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {chooseByScore} from '../chooseByScore.js';
import type {RoutingCandidate, RoutingContext} from '../chooseUpstream.js';
import {ServiceCrowding} from '../serviceCrowding.js';
import {TypicalDurations} from '../typicalDurations.js';
import {UpstreamLoads} from '../upstreamLoads.js';
import {WindowedRetryBudget} from '../windowedRetryBudget.js';

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
    prefersFew: false,
    mayProbe: false,
    ...change,
  };
}

describe('the crowding of a service', () => {
  it('shows once offers in a row found no slot, and ends when they find some', () => {
    const crowding = new ServiceCrowding();
    crowding.offered('s', false);
    expect(crowding.isCrowded('s')).toBe(false);
    crowding.offered('s', false);
    expect(crowding.isCrowded('s')).toBe(true);
    expect(crowding.isCrowded('another')).toBe(false);
    for (let i = 0; i < 10; i += 1) {
      crowding.offered('s', true);
    }
    expect(crowding.isCrowded('s')).toBe(false);
  });
});

describe('chooseByScore', () => {
  it('prefers the own box, then the own data centre', () => {
    const far = candidate('far', {dataCentre: 'd2'});
    const near = candidate('near');
    const own = candidate('own');
    expect(chooseByScore(context(), [far, near, own])).toBe(own);
    expect(chooseByScore(context(), [far, near])).toBe(near);
  });

  it('goes to another data centre rather than wait', () => {
    const loads = new UpstreamLoads();
    loads.heard('near', NOW, {state: 'accepting', occupied: 4, limit: 4});
    const far = candidate('far', {dataCentre: 'd2'});
    expect(chooseByScore(context({loads}), [candidate('near'), far])).toBe(far);
  });

  it('keeps calls that cannot be repeated near by while one there has room', () => {
    const far = Array.from({length: 20}, (_, i) =>
      candidate(`f${i}`, {dataCentre: 'd2'}),
    );
    const near = ['n1', 'n2'].map((name) => candidate(name));
    const chosen = chooseByScore(context({prefersFew: true}), [
      ...far,
      ...near,
    ]);
    expect(near).toContain(chosen);
  });

  it('sends calls that cannot be repeated to the same upstreams from everywhere', () => {
    const all = Array.from({length: 20}, (_, i) => candidate(`u${i}`));
    const chosen = new Set(
      ['e1', 'e2', 'e3'].map(
        (box) => chooseByScore(context({box, prefersFew: true}), all)?.name,
      ),
    );
    expect(chosen.size).toBe(1);
  });

  it('goes on to the next one in that order when the first is crowded', () => {
    const all = Array.from({length: 20}, (_, i) => candidate(`u${i}`));
    const loads = new UpstreamLoads();
    const first = chooseByScore(context({loads, prefersFew: true}), all);
    const hint = {state: 'accepting', occupied: 4, limit: 4} as const;
    loads.heard(first?.name ?? '', NOW, hint);
    const second = chooseByScore(context({loads, prefersFew: true}), all);
    expect(second?.name).not.toBe(first?.name);
  });
});

describe('UpstreamLoads', () => {
  it('keeps ordinary calls away as long as the guard says, and probes for less', () => {
    const loads = new UpstreamLoads();
    loads.heard('u', NOW, {
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
  it('stays near the median though some calls take very long', () => {
    const durations = new TypicalDurations();
    for (let i = 0; i < 400; i += 1) {
      durations.add('kind', i % 10 === 0 ? 5000 : 80 + (i % 5) * 10);
    }
    const typical = durations.of('kind') ?? 0;
    expect(typical).toBeGreaterThan(75);
    expect(typical).toBeLessThan(140);
  });

  it('says nothing before it has seen enough', () => {
    const durations = new TypicalDurations();
    durations.add('kind', 10);
    expect(durations.of('kind')).toBeUndefined();
  });
});
