// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A short soak of real processes with fixed seeds. */

import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, expect, it} from 'vitest';
import {runSoak} from '../runSoak.js';

const SEED = 20261202;
const SIZE = {boxes: 4, faultMilliseconds: 5000, faults: 'first'} as const;

describe('a short soak', () => {
  it('keeps every promise through kills, stops, pauses and bad links', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'lockpin-soak-'));
    const {violations, calls, faults} = await runSoak(SEED, SIZE, folder);
    expect(violations).toEqual([]);
    expect(calls).toBeGreaterThan(200);
    expect(faults).toBeGreaterThan(5);
  });

  it('keeps them through restarts under the same id and invalid writes', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'lockpin-soak-'));
    const size = {...SIZE, faults: 'second'} as const;
    const {violations, calls} = await runSoak(SEED + 1, size, folder);
    expect(violations).toEqual([]);
    expect(calls).toBeGreaterThan(200);
  });

  it('keeps what upstreams state about their limits and departures', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'lockpin-soak-'));
    const size = {...SIZE, faults: 'stated'} as const;
    const {violations, calls} = await runSoak(SEED + 3, size, folder);
    expect(violations).toEqual([]);
    expect(calls).toBeGreaterThan(200);
  });

  it('applies changes in time at boxes that hear no other box', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'lockpin-soak-'));
    const size = {...SIZE, faults: 'isolated'} as const;
    const {violations, calls} = await runSoak(SEED + 4, size, folder);
    expect(violations).toEqual([]);
    expect(calls).toBeGreaterThan(200);
  });

  it('uses the upstreams of replaced boxes while others fail', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'lockpin-soak-'));
    const size = {...SIZE, boxes: 6, faults: 'replaced'} as const;
    const {violations, calls} = await runSoak(SEED + 5, size, folder);
    expect(violations).toEqual([]);
    expect(calls).toBeGreaterThan(200);
  });

  it('keeps them under rejections, floods and slow readers', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'lockpin-soak-'));
    const size = {...SIZE, faults: 'loaded'} as const;
    const {violations, calls} = await runSoak(SEED + 6, size, folder);
    expect(violations).toEqual([]);
    expect(calls).toBeGreaterThan(200);
  });

  it('keeps them while upstreams break, prolong and repeat their answers', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'lockpin-soak-'));
    const size = {...SIZE, faults: 'broken'} as const;
    const {violations, calls} = await runSoak(SEED + 7, size, folder);
    expect(violations).toEqual([]);
    expect(calls).toBeGreaterThan(200);
  });

  it('keeps them while nodes start on held addresses and are told to stop', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'lockpin-soak-'));
    const size = {...SIZE, faults: 'starting'} as const;
    const {violations, calls} = await runSoak(SEED + 8, size, folder);
    expect(violations).toEqual([]);
    expect(calls).toBeGreaterThan(200);
  });

  it('keeps them while upstreams send what is no answer or has no end', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'lockpin-soak-'));
    const size = {...SIZE, faults: 'endless'} as const;
    const {violations, calls} = await runSoak(SEED + 8, size, folder);
    expect(violations).toEqual([]);
    expect(calls).toBeGreaterThan(200);
  });

  it('keeps them while nodes have more connections than descriptors', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'lockpin-soak-'));
    const size = {...SIZE, faults: 'crowded'} as const;
    const {violations, calls} = await runSoak(SEED + 9, size, folder);
    expect(violations).toEqual([]);
    expect(calls).toBeGreaterThan(200);
  });

  it('keeps them while rolling restarts overlap', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'lockpin-soak-'));
    const size = {...SIZE, boxes: 6, faults: 'restarted'} as const;
    const {violations, calls} = await runSoak(SEED + 10, size, folder);
    expect(violations).toEqual([]);
    expect(calls).toBeGreaterThan(200);
  });

  it('keeps them while the store is restored repeatedly', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'lockpin-soak-'));
    const size = {...SIZE, faults: 'all'} as const;
    const {violations, calls} = await runSoak(SEED + 2, size, folder);
    expect(violations).toEqual([]);
    expect(calls).toBeGreaterThan(200);
  });
});
