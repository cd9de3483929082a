// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Attribution of broken calls to the end of an upstream process. */

import {describe, expect, it} from 'vitest';
import {CrashDetector} from '../crashDetector.js';

describe('CrashDetector', () => {
  it('returns the broken calls when nothing listens at the address', () => {
    const watch = new CrashDetector();
    expect(watch.callBroke(0, 'a')).toEqual([]);
    expect(watch.beginCheck(0)).toBe(true);
    expect(watch.callBroke(1, 'b')).toEqual([]);
    expect(watch.beginCheck(1)).toBe(false);
    expect(watch.checkFinished(2, 'gone')).toEqual(['a', 'b']);
    expect(watch.callBroke(3, 'c')).toEqual(['c']);
    expect(watch.beginCheck(3)).toBe(false);
  });

  it('returns no calls for a listening upstream that resets connections', () => {
    const watch = new CrashDetector();
    for (let now = 0; now < 1000; now += 10) {
      expect(watch.callBroke(now, 'a')).toEqual([]);
      if (watch.beginCheck(now)) {
        expect(watch.checkFinished(now + 1, 'listening')).toEqual([]);
      }
    }
  });

  it('checks at most ten times a second', () => {
    const watch = new CrashDetector();
    let checks = 0;
    for (let now = 0; now < 1000; now += 10) {
      watch.callBroke(now, 'a');
      if (watch.beginCheck(now)) {
        checks += 1;
        watch.checkFinished(now, 'listening');
      }
    }
    expect(checks).toBe(10);
  });

  it('checks again for calls that broke meanwhile, after the interval', () => {
    const watch = new CrashDetector();
    watch.callBroke(0, 'reset');
    watch.beginCheck(0);
    watch.callBroke(2, 'ended');
    watch.checkFinished(3, 'listening');
    expect(watch.beginCheck(50)).toBe(false);
    expect(watch.beginCheck(103)).toBe(true);
    expect(watch.checkFinished(104, 'gone')).toEqual(['ended']);
  });

  it('draws no conclusion from an address that does not answer', () => {
    const watch = new CrashDetector();
    watch.callBroke(0, 'a');
    watch.beginCheck(0);
    expect(watch.checkFinished(200, 'unknown')).toEqual([]);
  });
});
