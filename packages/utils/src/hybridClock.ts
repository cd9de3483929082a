// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Hybrid logical clock: causal order across processes, close to real time. */

import type {HybridTime} from '@lockpin/types';

/**
 * A hybrid logical clock that is monotonic and later than every received time.
 */
export class HybridClock {
  private last: HybridTime = {milliseconds: 0, counter: 0};

  /** Returns the timestamp of a new local event. */
  tick(now: number): HybridTime {
    this.last =
      now > this.last.milliseconds
        ? {milliseconds: now, counter: 0}
        : {...this.last, counter: this.last.counter + 1};
    return this.last;
  }

  /**
   * Merges the timestamp of a received message, so that later events follow it.
   */
  receive(now: number, remote: HybridTime): void {
    if (compareHybridTimes(remote, this.last) > 0) {
      this.last = remote;
    }
    this.tick(now);
  }
}

/** Compares two hybrid timestamps, earlier first. */
export function compareHybridTimes(a: HybridTime, b: HybridTime): number {
  return a.milliseconds - b.milliseconds || a.counter - b.counter;
}
