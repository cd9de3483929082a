// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Slow readers beside ordinary calls, at a real node process. */

import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect, it} from 'vitest';
import {measureSlowReaders} from '../slowReaders.js';

/** A connection on loopback holds about 4 MB outside the processes. */
const LOAD = {
  readers: 10,
  bytes: 5_000_000,
  bytesPerSecond: 2000,
  milliseconds: 4000,
  callsPerSecond: 20,
  memoryMegabytes: 250,
  switchedOff: '',
} as const;

it('lets slow readers affect neither other calls nor the upstream', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'lockpin-readers-'));
  const result = await measureSlowReaders(LOAD, folder);
  expect(result.ends).toMatchObject({reading: LOAD.readers, truncated: 0});
  expect(result.cutOffByUpstream).toBe(0);
  expect(result.peakMegabytes).toBeLessThan(LOAD.memoryMegabytes);
  const {calls, served} = result.beside;
  expect(served).toBeGreaterThan(0.95 * calls);
});
