// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Quarantines that end early, by a lift or by a new program version. */

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {QUARANTINE_MILLISECONDS, Quarantine} from '../quarantine.js';
import {MAXIMUM_LIFTS, OwnLifts} from '../quarantineLift.js';
import type {QuarantineLift} from '../quarantineLift.js';
import {REPORT_LIFETIME_MILLISECONDS} from '../runReport.js';
import type {RunReport} from '../runReport.js';

const NOW = 1_000_000;

function crash(at: number, program?: string): RunReport {
  return {digest: 'bad', at, hasCrashed: true, program};
}

/** A quarantine with one crash report from each of three boxes. */
function quarantined(
  quarantine = new Quarantine(),
  program?: string,
): Quarantine {
  for (let i = 0; i < 3; i += 1) {
    quarantine.addReports(
      NOW,
      `box-${i}`,
      [crash(NOW - 3 + i, program)],
      'shop',
    );
  }
  return quarantine;
}

describe('a quarantine', () => {
  it('is listed with its service, crashes, boxes and times', () => {
    expect(quarantined().quarantinedRequests(NOW)).toEqual([
      {
        digest: 'bad',
        services: ['shop'],
        crashes: 3,
        survived: 0,
        boxes: ['box-0', 'box-1', 'box-2'],
        since: NOW - 1,
        until: NOW - 1 + QUARANTINE_MILLISECONDS,
      },
    ]);
    expect(
      quarantined().quarantinedRequests(NOW + QUARANTINE_MILLISECONDS),
    ).toEqual([]);
  });

  it('ends when lifted, and begins again after three more crashes', () => {
    const quarantine = quarantined();
    const lift = quarantine.lift(NOW, 'bad') as QuarantineLift;
    quarantine.addLifts(NOW, [lift]);
    expect(quarantine.remaining(NOW, 'bad')).toBe(0);
    expect(quarantine.quarantinedRequests(NOW)).toEqual([]);
    quarantine.addReports(NOW + 2, 'box-1', [crash(NOW + 1), crash(NOW + 2)]);
    expect(quarantine.remaining(NOW + 3, 'bad')).toBe(0);
    quarantine.addReports(NOW + 3, 'box-2', [crash(NOW + 3)]);
    expect(quarantine.remaining(NOW + 3, 'bad')).toBeGreaterThan(0);
  });

  it('cannot be lifted if there is none', () => {
    const quarantine = quarantined();
    expect(quarantine.lift(NOW, 'other')).toBeUndefined();
    const over = NOW + QUARANTINE_MILLISECONDS;
    expect(quarantine.lift(over, 'bad')).toBeUndefined();
  });

  it('can be lifted when the clocks of reporting boxes are ahead', () => {
    const quarantine = new Quarantine();
    for (let i = 0; i < 3; i += 1) {
      quarantine.addReports(NOW + 10, `box-${i}`, [crash(NOW + 5 + i)]);
    }
    const lift = quarantine.lift(NOW, 'bad') as QuarantineLift;
    quarantine.addLifts(NOW + 10, [lift]);
    expect(quarantine.remaining(NOW + 10, 'bad')).toBe(0);
  });

  it('does not depend on the order of lifts and reports', () => {
    const reports = [0, 1, 2, 3, 4].map((i) => crash(NOW - 9 + i));
    const steps = [
      ...reports.map((report, i) => (quarantine: Quarantine) => {
        quarantine.addReports(NOW, `box-${i}`, [report]);
      }),
      (quarantine: Quarantine) => {
        quarantine.addLifts(NOW, [{digest: 'bad', at: NOW - 8}]);
      },
      (quarantine: Quarantine) => {
        quarantine.addLifts(NOW, [{digest: 'bad', at: NOW - 20}]);
      },
    ];
    fc.assert(
      fc.property(
        fc.shuffledSubarray(steps, {minLength: steps.length}),
        (order) => {
          const quarantine = new Quarantine();
          order.forEach((step) => step(quarantine));
          expect(quarantine.quarantinedRequests(NOW)).toMatchObject([
            {
              crashes: 3,
              since: NOW - 5,
              until: NOW - 5 + QUARANTINE_MILLISECONDS,
            },
          ]);
        },
      ),
    );
  });
});

describe('a new version of the program', () => {
  it('is tried once no usable upstream runs a crashed version', () => {
    const running = new Set(['v1']);
    const quarantine = quarantined(
      new Quarantine((_, program) => running.has(program ?? '')),
      'v1',
    );
    running.add('v2');
    expect(quarantine.remaining(NOW, 'bad')).toBeGreaterThan(0);
    running.delete('v1');
    expect(quarantine.remaining(NOW, 'bad')).toBe(0);
    quarantine.addReports(NOW, 'box-9', [crash(NOW, 'v2')]);
    expect(quarantine.remaining(NOW, 'bad')).toBe(QUARANTINE_MILLISECONDS);
  });

  it('does not end the quarantine if it is rolled back', () => {
    const running = new Set(['v2']);
    const quarantine = quarantined(
      new Quarantine((_, program) => running.has(program ?? '')),
      'v1',
    );
    expect(quarantine.remaining(NOW, 'bad')).toBe(0);
    running.add('v1');
    expect(quarantine.remaining(NOW, 'bad')).toBeGreaterThan(0);
  });
});

describe('OwnLifts', () => {
  it('keeps a limited number, the newest of each request, for a day', () => {
    const lifts = new OwnLifts();
    expect(lifts.add(NOW, [{digest: 'a', at: 1}])).toBe(true);
    expect(lifts.add(NOW, [{digest: 'a', at: 1}])).toBe(false);
    lifts.add(NOW, [{digest: 'a', at: 2}]);
    expect(lifts.all).toEqual([{digest: 'a', at: 2}]);
    const many = Array.from({length: 40}, (_, i) => ({
      digest: `${i}`,
      at: 100 + i,
    }));
    lifts.add(NOW, many);
    expect(lifts.all).toEqual(many.slice(-MAXIMUM_LIFTS));
    lifts.add(NOW + 2 * REPORT_LIFETIME_MILLISECONDS, []);
    expect(lifts.all).toEqual([]);
  });
});
