// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** An event loop that does not wait is found. */

import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {EventLoopLoad, readLoopCounts} from '../process/eventLoopLoad.js';

describe('the load of the event loop', () => {
  it('is reported when it turns without a pause', () => {
    const load = new EventLoopLoad();
    expect(load.update(0, {turns: 100, events: 50})).toBeUndefined();
    expect(load.update(5000, {turns: 500_100, events: 500_050})).toEqual({
      turnsPerSecond: 100_000,
      eventsPerSecond: 100_000,
    });
    expect(load.update(10_000, {turns: 505_100, events: 500_060})).toBe(
      undefined,
    );
  });

  it('is not known where the runtime does not count', () => {
    const load = new EventLoopLoad();
    load.update(0, undefined);
    expect(load.update(5000, {turns: 500_000, events: 0})).toBeUndefined();
  });

  it('counts the turns of this process', async () => {
    const before = readLoopCounts();
    await delay(5);
    await delay(5);
    const after = readLoopCounts();
    expect(after?.turns ?? 1).toBeGreaterThan(before?.turns ?? 0);
  });
});
