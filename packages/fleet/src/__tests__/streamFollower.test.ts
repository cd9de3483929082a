// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How often nodes read the store, in small fleets and large ones. */

import {describe, expect, it} from 'vitest';
import {waitForTurn} from '../readingTurn.js';
import type {ReadingTurn} from '../readingTurn.js';
import {StreamFollower} from '../streamFollower.js';

const turnOf = (readers: number) => ({readers, phase: 0.5});

/** Reads a second of a whole fleet, when a box changes every five seconds. */
function readsPerSecond(nodes: number): number {
  const follower = new StreamFollower('boxes');
  let now = 0;
  let reads = 0;
  while (now < 600_000) {
    const read = follower.due(now, turnOf(nodes));
    if (read === undefined) {
      now += 100;
      continue;
    }
    reads += 1;
    const wait = read.kind === 'follow' ? read.waitMilliseconds : 0;
    const nextChange = (Math.floor(now / 5000) + 1) * 5000;
    const isNews = nextChange < now + wait;
    now = isNews ? nextChange : now + wait;
    const records = isNews ? [{key: 'b', value: undefined}] : [];
    const end = {era: 1, offset: 1};
    const value = {records, end, isWhole: false};
    follower.ended(now, () => 0.5, {
      read: read.read,
      result: {ok: true, value, era: 1},
    });
  }
  return (reads / 600) * nodes;
}

describe('a store that has lost its history', () => {
  it('is read anew at once, and then only after pauses while it goes on', () => {
    const follower = new StreamFollower('boxes');
    const gone = {
      ok: false,
      failure: {kind: 'history-gone', detail: ''},
      era: 1,
    } as const;
    let reads = 0;
    for (let now = 0; now < 3000; now += 1) {
      const read = follower.due(now, turnOf(3));
      if (read !== undefined) {
        reads += 1;
        const isNewest = read.kind === 'read-newest';
        const end = {era: 1, offset: 5};
        const value = {records: [], end, isWhole: true};
        const page = {ok: true, value, era: 1} as const;
        const result = isNewest ? page : gone;
        follower.ended(now, () => 0.5, {read: read.read, result});
      }
    }
    expect(reads).toBeLessThan(60);
  });
});

describe('the reads of a whole fleet', () => {
  it.each([
    [21, 10],
    [300, 100],
    [3900, 800],
  ])('of %i nodes are at most %i a second', (nodes, most) => {
    expect(readsPerSecond(nodes)).toBeLessThan(most);
  });

  it.each([2, 6, 10, 34])(
    'of %i readers end one after the other, in a round of 19 s at most',
    (readers) => {
      const ends = Array.from({length: readers}, (_, place) =>
        endsOf({readers, phase: place / readers}),
      ).flat();
      ends.sort((a, b) => a - b);
      const gaps = ends
        .slice(1)
        .map((end, i) => end - (ends[i] ?? 0))
        .filter((_, i) => (ends[i] ?? 0) > 60_000);
      expect(Math.max(...gaps)).toBeLessThanOrEqual(1001);
      expect(ends.length / 600).toBeLessThan(2);
    },
  );

  it('are no longer than is allowed, whatever the turn', () => {
    const longest = 2500;
    for (let phase = 0; phase < 1; phase += 0.1) {
      for (let now = 0; now < 10_000; now += 333) {
        expect(
          waitForTurn(now, 'boxes', {readers: 34, phase}, longest),
        ).toBeLessThanOrEqual(longest);
      }
    }
  });
});

/** When the long polls of one reader end in ten minutes without news. */
function endsOf(turn: ReadingTurn): readonly number[] {
  const ends: number[] = [];
  let now = turn.phase * 777;
  while (now < 600_000) {
    now += waitForTurn(now, 'configuration', turn, Number.POSITIVE_INFINITY);
    ends.push(now);
  }
  return ends;
}
