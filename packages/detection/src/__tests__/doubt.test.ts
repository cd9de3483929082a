// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Begin, duration and end of short-term doubt about an upstream. */

import {describe, expect, it} from 'vitest';
import {Doubt} from '../doubt.js';

describe('Doubt', () => {
  it('begins after a single broken call', () => {
    const doubt = new Doubt();
    expect(doubt.observe(0, 'broken')).toBe(true);
    expect(doubt.isDoubted(1)).toBe(true);
  });

  it('begins after two consecutive failures, but not after isolated ones', () => {
    const doubt = new Doubt();
    for (let now = 0; now < 1000; now += 100) {
      doubt.observe(now, now % 300 === 0 ? 'error' : 'well');
      expect(doubt.isDoubted(now)).toBe(false);
    }
    doubt.observe(1000, 'error');
    doubt.observe(1001, 'error');
    expect(doubt.isDoubted(1002)).toBe(true);
  });

  it('ends after two successful probes', () => {
    const doubt = new Doubt();
    doubt.observe(0, 'broken');
    doubt.observe(500, 'well');
    expect(doubt.isDoubted(501)).toBe(true);
    expect(doubt.millisecondsUntilProbe(501)).toBe(0);
    expect(doubt.observe(600, 'well')).toBe(true);
    expect(doubt.isDoubted(601)).toBe(false);
  });

  it('expires without probes', () => {
    const doubt = new Doubt();
    doubt.observe(0, 'broken');
    expect(doubt.isDoubted(2000)).toBe(false);
  });

  it('is not renewed by calls that started before it', () => {
    const doubt = new Doubt();
    doubt.observe(100, 'broken', 50);
    doubt.observe(101, 'broken', 60);
    doubt.observe(102, 'broken', 70);
    expect(doubt.remaining(100)).toBe(2000);
  });

  it('is renewed by a call that started during it', () => {
    const doubt = new Doubt();
    doubt.observe(100, 'broken', 50);
    doubt.observe(600, 'broken', 500);
    expect(doubt.remaining(600)).toBe(4000);
  });

  it('leaves the upstream unproven until a call succeeds', () => {
    const doubt = new Doubt();
    doubt.observe(0, 'well');
    expect(doubt.isProven).toBe(true);
    doubt.observe(100, 'broken', 50);
    expect(doubt.isProven).toBe(false);
    doubt.observe(3000, 'well', 2500);
    expect(doubt.isProven).toBe(true);
  });

  it('doubles its duration up to a limit, and resets after a quiet period', () => {
    const doubt = new Doubt();
    let now = 0;
    const lengths: number[] = [];
    for (let i = 0; i < 6; i += 1) {
      doubt.observe(now, 'broken');
      lengths.push(doubt.remaining(now));
      now += doubt.remaining(now) + 1;
    }
    expect(lengths).toEqual([2000, 4000, 4000, 4000, 4000, 4000]);
    now += 10_000;
    doubt.observe(now, 'broken');
    expect(doubt.remaining(now)).toBe(2000);
  });

  it('increases the probe interval while probes fail', () => {
    const doubt = new Doubt();
    doubt.observe(0, 'broken');
    expect(doubt.millisecondsUntilProbe(0)).toBe(400);
    doubt.observe(400, 'broken');
    expect(doubt.millisecondsUntilProbe(400)).toBe(800);
    doubt.observe(1200, 'broken');
    expect(doubt.millisecondsUntilProbe(1200)).toBe(1000);
  });
});
