// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Attribution of broken calls to the end of an upstream process. */

import {describe, expect, it} from 'vitest';
import {CrashWatch} from '../crashWatch.js';

describe('CrashDetector', () => {
  it('returns the broken calls when nothing listens at the address', () => {
    const watch = new CrashWatch();
    expect(watch.broke(0, 'a')).toEqual([]);
    expect(watch.beginLook(0)).toBe(true);
    expect(watch.broke(1, 'b')).toEqual([]);
    expect(watch.beginLook(1)).toBe(false);
    expect(watch.looked(2, 'gone')).toEqual(['a', 'b']);
    expect(watch.broke(3, 'c')).toEqual(['c']);
    expect(watch.beginLook(3)).toBe(false);
  });

  it('returns no calls for a listening upstream that resets connections', () => {
    const watch = new CrashWatch();
    for (let now = 0; now < 1000; now += 10) {
      expect(watch.broke(now, 'a')).toEqual([]);
      if (watch.beginLook(now)) {
        expect(watch.looked(now + 1, 'there')).toEqual([]);
      }
    }
  });

  it('checks at most ten times a second', () => {
    const watch = new CrashWatch();
    let checks = 0;
    for (let now = 0; now < 1000; now += 10) {
      watch.broke(now, 'a');
      if (watch.beginLook(now)) {
        checks += 1;
        watch.looked(now, 'there');
      }
    }
    expect(checks).toBe(10);
  });

  it('checks again for calls that broke meanwhile, after the interval', () => {
    const watch = new CrashWatch();
    watch.broke(0, 'reset');
    watch.beginLook(0);
    watch.broke(2, 'ended');
    watch.looked(3, 'there');
    expect(watch.beginLook(50)).toBe(false);
    expect(watch.beginLook(103)).toBe(true);
    expect(watch.looked(104, 'gone')).toEqual(['ended']);
  });

  it('draws no conclusion from an address that does not answer', () => {
    const watch = new CrashWatch();
    watch.broke(0, 'a');
    watch.beginLook(0);
    expect(watch.looked(200, 'unknown')).toEqual([]);
  });
});
