// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Upstreams that restart repeatedly under one id, whose announcements are
 * delayed, duplicated and reordered: the newest process is known, and none that
 * has left ever takes work again.
 */

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {OwnUpstreamTracker} from '../ownUpstream.js';
import type {UpstreamAnnouncement} from '../ownUpstream.js';

type State = UpstreamAnnouncement['state'];

function createAnnouncement(
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

/** Announcements per process, in order: ready ones, then perhaps an end. */
const processes = fc.array(
  fc.record({
    announcements: fc.integer({min: 1, max: 4}),
    end: fc.constantFrom<State | 'crash'>('draining', 'gone', 'crash'),
  }),
  {minLength: 1, maxLength: 4},
);

function announcementsOf(
  generated: typeof processes extends fc.Arbitrary<infer T> ? T : never,
) {
  return generated.flatMap(({announcements, end}, i) => {
    const startedAt = 100 + i;
    const ready = Array.from({length: announcements}, (_, sequence) =>
      createAnnouncement(startedAt, 'ready', sequence),
    );
    return end === 'crash'
      ? ready
      : [...ready, createAnnouncement(startedAt, end, announcements)];
  });
}

describe('the upstream of a box', () => {
  it('is the newest process that was heard, in whatever order', () => {
    const order = fc.array(fc.nat(), {minLength: 1, maxLength: 30});
    fc.assert(
      fc.property(processes, order, (generated, choices) => {
        const announcements = announcementsOf(generated);
        const tracker = new OwnUpstreamTracker();
        const left = new Set<number>();
        let newest = 0;
        for (const [now, choice] of choices.entries()) {
          const announcement = announcements[
            choice % announcements.length
          ] as UpstreamAnnouncement;
          const {startedAt} = announcement.incarnation;
          tracker.announced(now, announcement);
          newest = Math.max(newest, startedAt);
          if (announcement.state !== 'ready' && startedAt === newest) {
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

  it('takes work when it announced itself as ready in order, after any history', () => {
    fc.assert(
      fc.property(processes, (generated) => {
        const tracker = new OwnUpstreamTracker();
        announcementsOf(generated).forEach((announcement, now) =>
          tracker.announced(now, announcement),
        );
        tracker.announced(99, createAnnouncement(999, 'ready', 0));
        expect(tracker.upstream).toMatchObject({takesWork: true, slots: 999});
      }),
    );
  });

  it('is not replaced by a late announcement of another id that started before', () => {
    const tracker = new OwnUpstreamTracker();
    tracker.announced(0, createAnnouncement(200, 'ready', 1, 'i-2'));
    tracker.announced(1, createAnnouncement(100, 'ready', 9, 'i-1'));
    expect(tracker.upstream?.incarnation.id).toBe('i-2');
  });

  it.each([
    ['sent', 100, 200],
    ['not sent', 0, 0],
  ])(
    'is not replaced by late announcements of another id at its address, starts %s',
    (_, earlier, later) => {
      const late = [
        createAnnouncement(earlier, 'ready', 9, 'i-1'),
        createAnnouncement(earlier, 'draining', 10, 'i-1'),
        createAnnouncement(earlier, 'gone', 0, 'i-1'),
      ];
      const tracker = new OwnUpstreamTracker();
      tracker.announced(0, createAnnouncement(earlier, 'ready', 1, 'i-1'));
      tracker.announced(1000, createAnnouncement(later, 'ready', 1, 'i-2'));
      for (const [i, announcement] of late.entries()) {
        tracker.announced(4000 + i, announcement);
        expect(tracker.upstream).toMatchObject({
          incarnation: {id: 'i-2', startedAt: later},
          takesWork: true,
        });
      }
    },
  );

  it('is not replaced for good by a late announcement of an unknown process', () => {
    const tracker = new OwnUpstreamTracker();
    tracker.announced(0, createAnnouncement(0, 'ready', 1, 'i-2'));
    tracker.announced(500, createAnnouncement(0, 'ready', 9, 'i-1'));
    for (let sequence = 2; sequence < 9; sequence += 1) {
      const announcement = createAnnouncement(0, 'ready', sequence, 'i-2');
      tracker.announced(sequence * 1000, announcement);
    }
    expect(tracker.upstream).toMatchObject({
      incarnation: {id: 'i-2'},
      takesWork: true,
    });
  });

  it.each([4, 6, 12, 60])(
    'is not replaced while it announces itself: a process that ended is heard %i s later',
    (seconds) => {
      const tracker = new OwnUpstreamTracker();
      tracker.announced(0, createAnnouncement(0, 'ready', 1, 'i-1'));
      for (let second = 1; second <= seconds; second += 1) {
        const announcement = createAnnouncement(0, 'ready', second, 'i-2');
        tracker.announced(second * 1000, announcement);
      }
      const late = createAnnouncement(0, 'ready', 9, 'i-1');
      tracker.announced(seconds * 1000 + 900, late);
      expect(tracker.upstream?.incarnation.id).toBe('i-2');
    },
  );

  it('remains a process that returned after a late announcement replaced it', () => {
    const tracker = new OwnUpstreamTracker();
    tracker.announced(0, createAnnouncement(0, 'ready', 1, 'i-2'));
    tracker.announced(500, createAnnouncement(0, 'ready', 9, 'i-1'));
    for (let second = 1; second < 20; second += 1) {
      const slots = 100 + second;
      const announcement = createAnnouncement(0, 'ready', 1 + second, 'i-2');
      tracker.announced(second * 1000, {...announcement, slots});
      expect(tracker.upstream?.slots).toBe(second < 6 ? 0 : slots);
    }
  });

  it('takes no work once its answers state that it is leaving, whatever it announces', () => {
    const tracker = new OwnUpstreamTracker();
    tracker.announced(0, createAnnouncement(100, 'ready', 1));
    const incarnation = {id: 'i-1', startedAt: 100};
    expect(tracker.leaving(incarnation).kind).toBe('changed');
    expect(tracker.leaving(incarnation).kind).toBe('unchanged');
    tracker.announced(1, createAnnouncement(100, 'ready', 2));
    expect(tracker.upstream?.takesWork).toBe(false);
    tracker.announced(2, createAnnouncement(200, 'ready', 1));
    expect(tracker.upstream?.takesWork).toBe(true);
  });

  it('keeps its work when an earlier process states that it is leaving', () => {
    const tracker = new OwnUpstreamTracker();
    tracker.announced(0, createAnnouncement(200, 'ready', 1));
    tracker.leaving({id: 'i-1', startedAt: 100});
    expect(tracker.upstream?.takesWork).toBe(true);
  });

  it.each(['draining', 'gone'] as const)(
    'is leaving once it is %s, also for a node that has started since, until another is ready',
    (state) => {
      const running = new OwnUpstreamTracker();
      running.announced(0, createAnnouncement(100, 'ready', 1));
      expect(running.isLeaving).toBe(false);
      const started = new OwnUpstreamTracker();
      expect(started.isLeaving).toBe(false);
      for (const tracker of [running, started]) {
        tracker.announced(1000, createAnnouncement(100, state, 2));
        expect(tracker.isLeaving).toBe(true);
        tracker.announced(2000, createAnnouncement(200, 'ready', 1));
        expect(tracker.isLeaving).toBe(false);
      }
    },
  );

  it('may leave without a start time, but not just after it reused an id', () => {
    const tracker = new OwnUpstreamTracker();
    tracker.announced(0, createAnnouncement(100, 'ready', 1));
    tracker.announced(1, createAnnouncement(200, 'ready', 1));
    expect(tracker.announced(2, createAnnouncement(0, 'gone', 0)).kind).toBe(
      'refused',
    );
    expect(tracker.upstream?.takesWork).toBe(true);
    expect(tracker.announced(6000, createAnnouncement(0, 'gone', 0)).kind).toBe(
      'changed',
    );
    expect(tracker.upstream?.takesWork).toBe(false);
  });
});
