// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which broken calls mean that their upstream has ended. */

import {describe, expect, it} from 'vitest';
import {CrashWatch} from '../crashWatch.js';

describe('CrashWatch', () => {
  it('names the calls that broke when nobody is found at the address', () => {
    const watch = new CrashWatch();
    expect(watch.broke(0, 'a')).toEqual([]);
    expect(watch.beginLook(0)).toBe(true);
    expect(watch.broke(1, 'b')).toEqual([]);
    expect(watch.beginLook(1)).toBe(false);
    expect(watch.looked(2, 'gone')).toEqual(['a', 'b']);
    expect(watch.broke(3, 'c')).toEqual(['c']);
    expect(watch.beginLook(3)).toBe(false);
  });

  it('names none of an upstream that resets connections and is there', () => {
    const watch = new CrashWatch();
    for (let now = 0; now < 1000; now += 10) {
      expect(watch.broke(now, 'a')).toEqual([]);
      if (watch.beginLook(now)) {
        expect(watch.looked(now + 1, 'there')).toEqual([]);
      }
    }
  });

  it('looks ten times a second at the most', () => {
    const watch = new CrashWatch();
    let looks = 0;
    for (let now = 0; now < 1000; now += 10) {
      watch.broke(now, 'a');
      if (watch.beginLook(now)) {
        looks += 1;
        watch.looked(now, 'there');
      }
    }
    expect(looks).toBe(10);
  });

  it('looks again for what broke meanwhile, once the pause is over', () => {
    const watch = new CrashWatch();
    watch.broke(0, 'reset');
    watch.beginLook(0);
    watch.broke(2, 'ended');
    watch.looked(3, 'there');
    expect(watch.beginLook(50)).toBe(false);
    expect(watch.beginLook(103)).toBe(true);
    expect(watch.looked(104, 'gone')).toEqual(['ended']);
  });

  it('concludes nothing from an address that does not answer', () => {
    const watch = new CrashWatch();
    watch.broke(0, 'a');
    watch.beginLook(0);
    expect(watch.looked(200, 'unknown')).toEqual([]);
  });
});
