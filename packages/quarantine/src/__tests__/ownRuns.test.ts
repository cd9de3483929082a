// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Reports of a box on the runs of its own upstreams. */

import {describe, expect, it} from 'vitest';
import {OwnRuns} from '../ownRuns.js';
import {MAXIMUM_REPORTS, REPORT_LIFETIME_MILLISECONDS} from '../runReport.js';

describe('OwnRuns', () => {
  it('reports each request that ran when the upstream crashed', () => {
    const runs = new OwnRuns();
    expect(runs.crashed(5, ['a', 'b', 'b', ''])).toBe(true);
    expect(runs.reports).toEqual([
      {digest: 'a', at: 5, hasCrashed: true},
      {digest: 'b', at: 5, hasCrashed: true},
    ]);
  });

  it('excuses as many crashes as the request had successful runs here', () => {
    const runs = new OwnRuns();
    runs.survived(1, 'popular', false);
    runs.survived(2, 'popular', false);
    expect(runs.crashed(3, ['popular'])).toBe(false);
    expect(runs.crashed(4, ['popular'])).toBe(false);
    expect(runs.crashed(5, ['popular'])).toBe(true);
  });

  it('reports survived runs only for suspected requests', () => {
    const runs = new OwnRuns();
    expect(runs.survived(1, 'a', false)).toBe(false);
    expect(runs.reportPastSurvival(2, 'b')).toBe(false);
    expect(runs.reportPastSurvival(2, 'a')).toBe(true);
    expect(runs.reports).toEqual([{digest: 'a', at: 2, hasCrashed: false}]);
    const more = Array.from({length: 9}, (_, i) => runs.survived(i, 'a', true));
    expect(more.filter((isNew) => isNew)).toHaveLength(3);
  });

  it('publishes the newest reports, and none older than a day', () => {
    const runs = new OwnRuns();
    for (let i = 0; i < 40; i += 1) {
      runs.crashed(i, [`digest-${i}`]);
    }
    expect(runs.reports).toHaveLength(MAXIMUM_REPORTS);
    expect(runs.reports.at(-1)?.digest).toBe('digest-39');
    runs.crashed(100 + REPORT_LIFETIME_MILLISECONDS, ['late']);
    expect(runs.reports).toHaveLength(1);
  });

  it('adopts the reports of an earlier process of its box', () => {
    const runs = new OwnRuns();
    const earlier = [{digest: 'a', at: 1, hasCrashed: true}];
    runs.crashed(9, ['b']);
    expect(runs.adopt(10, earlier)).toBe(true);
    expect(runs.adopt(10, earlier)).toBe(false);
    expect(runs.reports.map(({digest}) => digest)).toEqual(['a', 'b']);
  });
});
