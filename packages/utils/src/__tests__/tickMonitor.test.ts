// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Detection of times for which an event loop did not run. */

import {describe, expect, it} from 'vitest';
import {TickMonitor} from '../tickMonitor.js';

describe('TickMonitor', () => {
  it('reports by how much a tick is late, from the shortest delay on', () => {
    const monitor = new TickMonitor({interval: 200, minimumDelay: 100});
    const delays = [1000, 1200, 1499, 1799, 2600, 2800].map((now) =>
      monitor.tick(now),
    );
    expect(delays).toEqual([0, 0, 0, 100, 601, 0]);
  });
});
