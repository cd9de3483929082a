// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Records when event loops did not run: that of this process, which holds the
 * callers, upstreams, forwarders and the store, and those of the nodes.
 */

import {readFileSync} from 'node:fs';
import {TickMonitor} from '@lockpin/utils';
import type {StallRecord} from './soakHistory.js';

const TICK_MILLISECONDS = 20;

const MINIMUM_STALL_MILLISECONDS = 50;

/** Log line of a node about its event loop. */
interface DelayLine {
  readonly event: string;
  readonly time: string;
  readonly milliseconds: number;
}

/** Records stalls of this process until it is stopped. */
export class StallRecorder {
  readonly stalls: StallRecord[] = [];
  private readonly timer: NodeJS.Timeout;

  constructor() {
    const monitor = new TickMonitor({
      interval: TICK_MILLISECONDS,
      minimumDelay: MINIMUM_STALL_MILLISECONDS,
    });
    this.timer = setInterval(() => {
      const until = Date.now();
      const delay = monitor.tick(until);
      if (delay > 0) {
        this.stalls.push({box: '', from: until - delay, until});
      }
    }, TICK_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.timer);
  }
}

/** Reads the stalls of a node from its log. */
export function readNodeStalls(
  box: string,
  logFile: string,
): readonly StallRecord[] {
  return readFileSync(logFile, 'utf8')
    .split('\n')
    .filter((line) => line.includes('"event-loop-delayed"'))
    .map((line) => JSON.parse(line) as DelayLine)
    .map(({time, milliseconds}) => {
      const until = Date.parse(time);
      return {box, from: until - milliseconds, until};
    });
}
