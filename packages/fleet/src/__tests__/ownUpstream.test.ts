// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Upstreams that start again and again under one id, whose words are delayed, doubled
 * and heard in any order: the newest process is known, and none that has left ever takes
 * work again.
 */

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {OwnUpstreamTracker} from '../ownUpstream.js';
import type {UpstreamAnnouncement} from '../ownUpstream.js';

type State = UpstreamAnnouncement['state'];

function said(
  startedAt: number,
  state: State,
  sequence: number,
  id = 'i-1',
): UpstreamAnnouncement {
  return {
    incarnation: {id, startedAt},
    service: 's',
    address: '10.0.0.1:80',
    slots: startedAt,
    state,
    coldMilliseconds: 0,
    sequence: state === 'gone' ? 0 : sequence,
  };
}

/** The words of some processes, each in its order: ready, then maybe an end. */
const lives = fc.array(
  fc.record({
    words: fc.integer({min: 1, max: 4}),
    end: fc.constantFrom<State | 'crash'>('draining', 'gone', 'crash'),
  }),
  {minLength: 1, maxLength: 4},
);

function wordsOf(
  played: typeof lives extends fc.Arbitrary<infer T> ? T : never,
) {
  return played.flatMap(({words, end}, i) => {
    const startedAt = 100 + i;
    const ready = Array.from({length: words}, (_, sequence) =>
      said(startedAt, 'ready', sequence),
    );
    return end === 'crash' ? ready : [...ready, said(startedAt, end, words)];
  });
}

describe('the upstream of a box', () => {
  it('is the newest process that was heard, in whatever order', () => {
    const order = fc.array(fc.nat(), {minLength: 1, maxLength: 30});
    fc.assert(
      fc.property(lives, order, (played, choices) => {
        const words = wordsOf(played);
        const tracker = new OwnUpstreamTracker();
        const left = new Set<number>();
        let newest = 0;
        for (const [now, choice] of choices.entries()) {
          const word = words[choice % words.length] as UpstreamAnnouncement;
          const {startedAt} = word.incarnation;
          tracker.announced(now, word);
          newest = Math.max(newest, startedAt);
          if (word.state !== 'ready' && startedAt === newest) {
            left.add(startedAt);
          }
          const {upstream} = tracker;
          if (upstream?.takesWork === true) {
            expect(upstream.incarnation.startedAt).toBe(newest);
            expect(left.has(upstream.incarnation.startedAt)).toBe(false);
          }
        }
      }),
    );
  });

  it('takes work when it is ready and was heard in order, after any past', () => {
    fc.assert(
      fc.property(lives, (played) => {
        const tracker = new OwnUpstreamTracker();
        wordsOf(played).forEach((word, now) => tracker.announced(now, word));
        tracker.announced(99, said(999, 'ready', 0));
        expect(tracker.upstream).toMatchObject({takesWork: true, slots: 999});
      }),
    );
  });

  it('is not replaced by a late word of another id that started before', () => {
    const tracker = new OwnUpstreamTracker();
    tracker.announced(0, said(200, 'ready', 1, 'i-2'));
    tracker.announced(1, said(100, 'ready', 9, 'i-1'));
    expect(tracker.upstream?.incarnation.id).toBe('i-2');
  });

  it.each([
    ['told', 100, 200],
    ['not told', 0, 0],
  ])(
    'is not replaced by late words of another id at its address, with starts %s',
    (_, earlier, later) => {
      const late = [
        said(earlier, 'ready', 9, 'i-1'),
        said(earlier, 'draining', 10, 'i-1'),
        said(earlier, 'gone', 0, 'i-1'),
      ];
      const tracker = new OwnUpstreamTracker();
      tracker.announced(0, said(earlier, 'ready', 1, 'i-1'));
      tracker.announced(1000, said(later, 'ready', 1, 'i-2'));
      for (const [i, word] of late.entries()) {
        tracker.announced(4000 + i, word);
        expect(tracker.upstream).toMatchObject({
          incarnation: {id: 'i-2', startedAt: later},
          takesWork: true,
        });
      }
    },
  );

  it('may leave without a start, but not just after it took up an id', () => {
    const tracker = new OwnUpstreamTracker();
    tracker.announced(0, said(100, 'ready', 1));
    tracker.announced(1, said(200, 'ready', 1));
    expect(tracker.announced(2, said(0, 'gone', 0)).kind).toBe('refused');
    expect(tracker.upstream?.takesWork).toBe(true);
    expect(tracker.announced(6000, said(0, 'gone', 0)).kind).toBe('changed');
    expect(tracker.upstream?.takesWork).toBe(false);
  });
});
