// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Distinguishes an event loop that does not wait from one with much input. */

import {connect, createServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';
import {describe, expect, it} from 'vitest';
import {
  EventLoopWatch,
  readLoopCounts,
  sampleTurns,
} from '../process/eventLoopWatch.js';
import type {
  BusyLoop,
  LoopCounts,
  TurnSample,
} from '../process/eventLoopWatch.js';

/** Reports of a watch that is called at these times with these counts. */
async function reportsOf(
  counts: readonly (readonly [at: number, counts: LoopCounts | undefined])[],
  sampled: TurnSample,
): Promise<readonly BusyLoop[]> {
  const reports: BusyLoop[] = [];
  let current = counts[0];
  const watch = new EventLoopWatch({
    clock: () => current?.[0] ?? 0,
    readCounts: () => current?.[1],
    sample: () => Promise.resolve(sampled),
    onBusy: (loop) => reports.push(loop),
  });
  for (current of counts) {
    await watch.check();
  }
  return reports;
}

const VAIN = {milliseconds: 25, turns: 2500, withInput: 10};

/** Turns at a rate, in thousands a second, for checks in 250 ms. */
function countsAt(
  thousands: number,
  checks: number,
): readonly (readonly [number, LoopCounts])[] {
  return Array.from({length: checks}, (_, i) => [
    i * 250,
    {turns: i * 250 * thousands, events: i * 250 * thousands},
  ]);
}

describe('the watch of the event loop', () => {
  it('reports one that turns without input, every 5 s at most', async () => {
    const reports = await reportsOf(countsAt(100, 22), VAIN);
    expect(reports).toHaveLength(2);
    expect(reports[0]).toEqual({
      turnsPerSecond: 100_000,
      eventsPerSecond: 100_000,
      vainTurnsPerSecond: 98_800,
    });
  });

  it('finds it within a quarter of a second', async () => {
    expect(await reportsOf(countsAt(11, 2), VAIN)).toHaveLength(1);
  });

  it('does not report turns that input explains', async () => {
    for (const withInput of [834, 2500]) {
      const sampled = {...VAIN, withInput};
      expect(await reportsOf(countsAt(100, 22), sampled)).toEqual([]);
    }
  });

  it('does not report a loop that turns seldom', async () => {
    expect(await reportsOf(countsAt(10, 22), VAIN)).toEqual([]);
  });

  it('does not report where the runtime does not count', async () => {
    const counts = [
      [0, undefined],
      [250, {turns: 500_000, events: 0}],
    ] as const;
    expect(await reportsOf(counts, VAIN)).toEqual([]);
  });
});

describe('a sample of turns', () => {
  it('counts the turns of this process', async () => {
    const before = readLoopCounts();
    const {turns} = await sampleTurns();
    const after = readLoopCounts();
    expect(turns).toBeGreaterThan(0);
    expect(turns).toBeLessThanOrEqual(
      (after?.turns ?? 0) - (before?.turns ?? 0),
    );
  });

  it('finds no input in turns that the process causes itself', async () => {
    let isOver = false;
    const turn = (): void => {
      if (!isOver) {
        setImmediate(turn);
      }
    };
    turn();
    const {turns, withInput} = await sampleOf(250);
    isOver = true;
    expect(withInput).toBeLessThan(turns / 10);
  });

  it('finds the input of many connections that are closed at once', async () => {
    const server = createServer((socket) => socket.destroy());
    const flood = await startFlood(server);
    const {turns, withInput} = await sampleOf(50);
    flood.stop();
    server.close();
    expect(withInput * 3).toBeGreaterThanOrEqual(turns);
  });
});

/** A sample of some turns; a busy machine may leave little time for them. */
async function sampleOf(minimumTurns: number): Promise<TurnSample> {
  let sample = await sampleTurns();
  while (sample.turns < minimumTurns) {
    sample = await sampleTurns();
  }
  return sample;
}

/** Opens connections again as soon as they are closed. */
async function startFlood(
  server: Server,
): Promise<{readonly stop: () => void}> {
  let isOver = false;
  await new Promise<void>((resolve) =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  const {port} = server.address() as AddressInfo;
  const open = (): void => {
    if (!isOver) {
      connect(port, '127.0.0.1')
        .on('error', () => undefined)
        .once('close', open);
    }
  };
  Array.from({length: 50}, open);
  return {
    stop: () => {
      isOver = true;
    },
  };
}
