// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Finds an event loop that turns without waiting, as when a descriptor stays ready
 * though nothing can be done with it. Such turns run no JavaScript.
 */

import {performance} from 'node:perf_hooks';

/** Turns of the event loop of this process, and events that it has handled. */
export interface LoopCounts {
  readonly turns: number;
  readonly events: number;
}

/** A loop that turns more often than its work explains. */
export interface BusyLoop {
  readonly turnsPerSecond: number;
  readonly eventsPerSecond: number;
}

/** Each turn that handles calls takes several times as long as this allows. */
const MAXIMUM_TURNS_PER_SECOND = 10_000;

/** The counts since the start; undefined where the runtime has none. */
export function readLoopCounts(): LoopCounts | undefined {
  const {uvMetricsInfo} = performance.nodeTiming as {
    readonly uvMetricsInfo?: {
      readonly loopCount: number;
      readonly events: number;
    };
  };
  return (
    uvMetricsInfo && {
      turns: uvMetricsInfo.loopCount,
      events: uvMetricsInfo.events,
    }
  );
}

/** Compares counts with the ones before. */
export class EventLoopLoad {
  private last: (LoopCounts & {readonly at: number}) | undefined;

  /** Takes new counts, in milliseconds; returns what was too busy since the last. */
  update(now: number, counts: LoopCounts | undefined): BusyLoop | undefined {
    const {last} = this;
    this.last = counts && {...counts, at: now};
    if (counts === undefined || last === undefined || now <= last.at) {
      return undefined;
    }
    const perSecond = (count: number): number =>
      Math.round((count * 1000) / (now - last.at));
    const turnsPerSecond = perSecond(counts.turns - last.turns);
    return turnsPerSecond > MAXIMUM_TURNS_PER_SECOND
      ? {
          turnsPerSecond,
          eventsPerSecond: perSecond(counts.events - last.events),
        }
      : undefined;
  }
}

/** The open resources of this process by kind, such as sockets and timers. */
export function countResources(): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const kind of process.getActiveResourcesInfo()) {
    counts[kind] = (counts[kind] ?? 0) + 1;
  }
  return counts;
}
