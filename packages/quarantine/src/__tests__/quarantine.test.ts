// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Quarantine decisions from the run reports of all boxes. */

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  CRASHES_TO_QUARANTINE,
  QUARANTINE_MILLISECONDS,
  Quarantine,
} from '../quarantine.js';
import {REPORT_LIFETIME_MILLISECONDS} from '../runReport.js';
import type {RunReport} from '../runReport.js';

const NOW = 1_000_000;

function run(digest: string, at: number, hasCrashed = true): RunReport {
  return {digest, at, hasCrashed};
}

function afterCrashes(count: number): Quarantine {
  const quarantine = new Quarantine();
  for (let i = 0; i < count; i += 1) {
    quarantine.addReports(NOW, `box-${i}`, [run('bad', NOW + i)]);
  }
  return quarantine;
}

describe('Quarantine', () => {
  it('quarantines a request that crashed three upstreams', () => {
    expect(afterCrashes(2).remaining(NOW, 'bad')).toBe(0);
    expect(afterCrashes(3).remaining(NOW, 'bad')).toBeGreaterThan(0);
    expect(afterCrashes(3).remaining(NOW, 'other')).toBe(0);
  });

  it('counts a crash once, however often it is reported', () => {
    const quarantine = new Quarantine();
    for (let i = 0; i < 9; i += 1) {
      quarantine.addReports(NOW, 'box', [run('bad', NOW)]);
    }
    expect(quarantine.remaining(NOW, 'bad')).toBe(0);
  });

  it('lets a request run after the quarantine, and quarantines it again', () => {
    const quarantine = afterCrashes(CRASHES_TO_QUARANTINE);
    const over = NOW + QUARANTINE_MILLISECONDS + 10;
    expect(quarantine.remaining(over, 'bad')).toBe(0);
    quarantine.addReports(over, 'box-0', [run('bad', over)]);
    expect(quarantine.remaining(over, 'bad')).toBe(QUARANTINE_MILLISECONDS);
  });

  it('does not quarantine a request that was survived as often', () => {
    const quarantine = afterCrashes(3);
    for (let i = 0; i < 3; i += 1) {
      quarantine.addReports(NOW, `other-${i}`, [run('bad', NOW + i, false)]);
    }
    expect(quarantine.remaining(NOW, 'bad')).toBe(0);
  });

  it('ignores reports older than a day and limits clocks that are ahead', () => {
    const quarantine = new Quarantine();
    const old = NOW - REPORT_LIFETIME_MILLISECONDS - 1;
    const ahead = NOW + 100 * REPORT_LIFETIME_MILLISECONDS;
    quarantine.addReports(NOW, 'a', [run('bad', old)]);
    quarantine.addReports(NOW, 'b', [run('bad', ahead), run('bad', ahead + 1)]);
    quarantine.addReports(NOW, 'c', [run('bad', NOW)]);
    expect(quarantine.remaining(NOW, 'bad')).toBe(QUARANTINE_MILLISECONDS);
  });

  it('keeps a bounded number of suspects', () => {
    const quarantine = new Quarantine();
    for (let i = 0; i < 5000; i += 1) {
      quarantine.addReports(NOW, 'box', [run(`digest-${i}`, NOW)]);
    }
    expect(quarantine.size).toBe(1000);
  });

  it('gives the same result for any order of the reports', () => {
    const report = fc.record({
      box: fc.constantFrom('a', 'b', 'c', 'd'),
      at: fc.integer({min: NOW - 1000, max: NOW}),
      hasCrashed: fc.boolean(),
    });
    fc.assert(
      fc.property(
        fc.array(report, {maxLength: 40}),
        fc.nat(),
        (reported, seed) => {
          const offset = seed % (reported.length + 1);
          const rotated = [
            ...reported.slice(offset),
            ...reported.slice(0, offset),
          ];
          const [here, there] = [new Quarantine(), new Quarantine()];
          for (const {box, at, hasCrashed} of reported) {
            here.addReports(NOW, box, [run('x', at, hasCrashed)]);
          }
          for (const {box, at, hasCrashed} of rotated) {
            there.addReports(NOW, box, [run('x', at, hasCrashed)]);
          }
          expect(here.remaining(NOW, 'x')).toBe(there.remaining(NOW, 'x'));
        },
      ),
    );
  });
});
