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

/**
 * The line of a node about its event loop. A node that is killed may leave a
 * part of a line, which the next process continues.
 */
const DELAY_LINE =
  /"time":"([^"]+)","event":"event-loop-delayed",.*"milliseconds":(\d+)\}$/gm;

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
  const lines = readFileSync(logFile, 'utf8').matchAll(DELAY_LINE);
  return [...lines].map(([, time = '', milliseconds]) => {
    const until = Date.parse(time);
    return {box, from: until - Number(milliseconds), until};
  });
}
