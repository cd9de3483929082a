// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Finds an event loop that turns without waiting and without work, as when a
 * descriptor stays ready though nothing can be done with it.
 */

import {createHook, executionAsyncResource} from 'node:async_hooks';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {steadyClock} from '@lockpin/utils';

/** Turns of the event loop of this process, and events that it has handled. */
export interface LoopCounts {
  readonly turns: number;
  readonly events: number;
}

/** Turns of the event loop in a period, and those in which JavaScript got input. */
export interface TurnSample {
  readonly milliseconds: number;
  readonly turns: number;
  readonly withInput: number;
}

/** A loop that turns more often than its work explains. */
export interface BusyLoop {
  readonly turnsPerSecond: number;
  readonly eventsPerSecond: number;
  /** In a short time afterwards. */
  readonly vainTurnsPerSecond: number;
}

/** More turns than the timers of a node explain. */
const MAXIMUM_TURNS_PER_SECOND = 10_000;

/** Input may cause further turns without any, by setImmediate. */
const TURNS_PER_INPUT = 3;

/** Interval between checks, which are cheap. */
const CHECK_INTERVAL_MILLISECONDS = 250;

/** Time for which turns are sampled; callbacks cost more meanwhile. */
const SAMPLE_MILLISECONDS = 25;

/** Interval between reports on a loop that stays busy. */
const REPORT_INTERVAL_MILLISECONDS = 5000;

/** Callbacks of these kinds are created by the process itself. */
const OWN_WORK: ReadonlySet<string> = new Set([
  'Immediate',
  'Timeout',
  // A callback of process.nextTick.
  'Object',
  'Promise',
]);

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

/** Counts the turns of a short time, and those in which JavaScript got input. */
export async function sampleTurns(): Promise<TurnSample> {
  const readTurns = (): number => readLoopCounts()?.turns ?? 0;
  const firstTurn = readTurns();
  const startedAt = performance.now();
  let withInput = 0;
  let lastTurn = firstTurn;
  const hook = createHook({
    before() {
      const {name = ''} = executionAsyncResource().constructor ?? {};
      const turn = OWN_WORK.has(name) ? lastTurn : readTurns();
      if (turn !== lastTurn) {
        lastTurn = turn;
        withInput += 1;
      }
    },
  }).enable();
  await delay(SAMPLE_MILLISECONDS);
  hook.disable();
  return {
    milliseconds: performance.now() - startedAt,
    turns: readTurns() - firstTurn,
    withInput,
  };
}

/** What a watch of the event loop depends on. */
export interface EventLoopWatchOptions {
  /** Milliseconds. */
  readonly clock: () => number;
  readonly readCounts: () => LoopCounts | undefined;
  readonly sample: () => Promise<TurnSample>;
  readonly onBusy: (loop: BusyLoop) => void;
}

/**
 * Compares counts with the ones before, and samples the turns of a loop that turns
 * often: many small pieces of input make it do so as well.
 */
export class EventLoopWatch {
  private last: (LoopCounts & {readonly at: number}) | undefined;
  private reportedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: EventLoopWatchOptions) {}

  /** Checks the time since the last call. */
  async check(): Promise<void> {
    const {clock, readCounts, sample, onBusy} = this.options;
    const rates = this.update(clock(), readCounts());
    if (
      rates === undefined ||
      rates.turnsPerSecond <= MAXIMUM_TURNS_PER_SECOND ||
      clock() - this.reportedAt < REPORT_INTERVAL_MILLISECONDS
    ) {
      return;
    }
    const {milliseconds, turns, withInput} = await sample();
    const vainTurnsPerSecond = perSecond(
      Math.max(0, turns - withInput * TURNS_PER_INPUT),
      milliseconds,
    );
    if (vainTurnsPerSecond > MAXIMUM_TURNS_PER_SECOND) {
      this.reportedAt = clock();
      onBusy({...rates, vainTurnsPerSecond});
    }
  }

  private update(
    now: number,
    counts: LoopCounts | undefined,
  ): Omit<BusyLoop, 'vainTurnsPerSecond'> | undefined {
    const {last} = this;
    this.last = counts && {...counts, at: now};
    if (counts === undefined || last === undefined || now <= last.at) {
      return undefined;
    }
    const milliseconds = now - last.at;
    return {
      turnsPerSecond: perSecond(counts.turns - last.turns, milliseconds),
      eventsPerSecond: perSecond(counts.events - last.events, milliseconds),
    };
  }
}

function perSecond(count: number, milliseconds: number): number {
  return Math.round((count * 1000) / milliseconds);
}

/**
 * Watches the event loop of this process, and reports it with the open resources;
 * returns a function that stops the watch.
 */
export function watchEventLoop(
  every: (milliseconds: number, run: () => void) => () => void,
  onBusy: (
    loop: BusyLoop & {readonly resources: Readonly<Record<string, number>>},
  ) => void,
): () => void {
  const watch = new EventLoopWatch({
    clock: steadyClock,
    readCounts: readLoopCounts,
    sample: sampleTurns,
    onBusy: (loop) => onBusy({...loop, resources: countResources()}),
  });
  return every(CHECK_INTERVAL_MILLISECONDS, () => void watch.check());
}

/** The open resources of this process by kind, such as sockets and timers. */
function countResources(): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const kind of process.getActiveResourcesInfo()) {
    counts[kind] = (counts[kind] ?? 0) + 1;
  }
  return counts;
}
