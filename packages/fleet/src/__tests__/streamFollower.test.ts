// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How often nodes read the store, in small fleets and large ones. */

import {describe, expect, it} from 'vitest';
import {StreamFollower} from '../streamFollower.js';

/** Reads a second of a whole fleet, when a box changes every five seconds. */
function readsPerSecond(nodes: number): number {
  const follower = new StreamFollower('boxes');
  let now = 0;
  let reads = 0;
  while (now < 600_000) {
    const read = follower.due(now, () => 0.5, nodes);
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
    const value = {records, end: 1};
    follower.ended(now, () => 0.5, {ok: true, value});
  }
  return (reads / 600) * nodes;
}

describe('a store that has lost its history', () => {
  it('is read anew at once, and then only after pauses while it goes on', () => {
    const follower = new StreamFollower('boxes');
    const gone = {
      ok: false,
      failure: {kind: 'history-gone', detail: ''},
    } as const;
    let reads = 0;
    for (let now = 0; now < 3000; now += 1) {
      const read = follower.due(now, () => 0.5, 3);
      if (read !== undefined) {
        reads += 1;
        const isNewest = read.kind === 'read-newest';
        const page = {ok: true, value: {records: [], end: 5}} as const;
        follower.ended(now, () => 0.5, isNewest ? page : gone);
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

  it('wait less in a small fleet, where fewer others would tell', () => {
    const follower = new StreamFollower('configuration');
    follower.due(0, () => 1, 3);
    follower.ended(0, () => 1, {ok: true, value: {records: [], end: 0}});
    expect(follower.due(0, () => 1, 3)).toMatchObject({
      waitMilliseconds: 4500,
    });
    const alone = new StreamFollower('configuration');
    alone.due(0, () => 1, 1);
    alone.ended(0, () => 1, {ok: true, value: {records: [], end: 0}});
    expect(alone.due(0, () => 1, 1)).toMatchObject({waitMilliseconds: 2000});
  });
});
