// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Tests that healthy upstreams stay in use while non-repeatable calls hang. */

import {describe, expect, it} from 'vitest';
import {seededRandom} from '@lockpin/utils';
import type {GuardCall} from '../guard/guardCall.js';
import type {GuardAction} from '../guard/guardMessages.js';
import {GuardHarness} from './__fixtures__/guardHarness.js';

/** A healthy upstream gets a call within this time while calls are offered. */
const MAXIMUM_IDLE_MILLISECONDS = 2000;

/** At least this share of a service's upstreams gets a call in that time. */
const MINIMUM_USED_SHARE = 0.7;

const GOAL_MILLISECONDS = 3000;
const CALL_MILLISECONDS = 900;
const HANG_MILLISECONDS = 10_000;
const SLOTS = 7;
const STEP_MILLISECONDS = 20;

/** How often a call is offered before it is dropped. */
const OFFERS_PER_CALL = 8;

const AT_MOST_ONCE = {
  repetition: 'at-most-once',
  needsGo: false,
  mayWait: false,
} as const;

function isAccepted(actions: readonly GuardAction[]): boolean {
  return actions.some(({kind}) => kind === 'run');
}

/** Offers a call at each step; returns the time until one is accepted. */
function idleMilliseconds(
  harness: GuardHarness,
  overrides: Partial<GuardCall> = {},
): number {
  const from = harness.now;
  for (let offered = 0; harness.now - from < HANG_MILLISECONDS; offered += 1) {
    harness.now += STEP_MILLISECONDS;
    harness.handle({kind: 'tick'});
    const usefulUntil = harness.now + GOAL_MILLISECONDS;
    const call = {...AT_MOST_ONCE, usefulUntil, ...overrides};
    if (isAccepted(harness.offer(`offer ${offered}`, call))) {
      break;
    }
  }
  return harness.now - from;
}

describe('an upstream with a hung call', () => {
  it('gets another call within two seconds if none has succeeded', () => {
    const harness = new GuardHarness(SLOTS);
    harness.offer('hangs', {...AT_MOST_ONCE, usefulUntil: GOAL_MILLISECONDS});
    expect(idleMilliseconds(harness)).toBeLessThan(MAXIMUM_IDLE_MILLISECONDS);
  });

  it('gets another call within two seconds if one has succeeded', () => {
    const harness = new GuardHarness(SLOTS);
    harness.run('well', 200);
    const expectedMilliseconds = CALL_MILLISECONDS;
    harness.offer('hangs', {...AT_MOST_ONCE, expectedMilliseconds});
    harness.now += 3 * CALL_MILLISECONDS;
    expect(idleMilliseconds(harness, {expectedMilliseconds})).toBeLessThan(
      MAXIMUM_IDLE_MILLISECONDS,
    );
  });
});

/** Simulates the upstreams of a service with non-repeatable calls. */
class StartingService {
  readonly calledAt: number[][];
  private readonly upstreams: readonly GuardHarness[];
  private readonly random;
  private pending: {endsAt: number; upstream: number; id: string}[] = [];

  constructor(
    seed: number,
    count: number,
    /** Number of upstreams whose first call hangs. */
    private readonly hungCount: number,
  ) {
    this.random = seededRandom(seed);
    this.upstreams = Array.from({length: count}, () => new GuardHarness(SLOTS));
    this.calledAt = this.upstreams.map(() => []);
  }

  run(milliseconds: number, callsPerStep: number): void {
    for (let now = 0; now < milliseconds; now += STEP_MILLISECONDS) {
      this.upstreams.forEach((upstream) => {
        upstream.now = now;
        upstream.handle({kind: 'tick'});
      });
      this.answerDueCalls(now);
      for (let i = 0; i < callsPerStep; i += 1) {
        this.offerCall(now, `${now} ${i}`);
      }
    }
  }

  /** Minimum share of upstreams that got a call in any window. */
  minimumUsedShare(windowMilliseconds: number, until: number): number {
    let minimum = 1;
    for (
      let from = 0;
      from + windowMilliseconds <= until;
      from += STEP_MILLISECONDS
    ) {
      const used = this.calledAt.filter((times) =>
        times.some((time) => time > from && time <= from + windowMilliseconds),
      );
      minimum = Math.min(minimum, used.length / this.upstreams.length);
    }
    return minimum;
  }

  private offerCall(now: number, id: string): void {
    const usefulUntil = now + GOAL_MILLISECONDS;
    for (let offered = 0; offered < OFFERS_PER_CALL; offered += 1) {
      const chosen = Math.floor(this.random() * this.upstreams.length);
      const upstream = this.upstreams[chosen];
      const call = {...AT_MOST_ONCE, usefulUntil};
      if (upstream && isAccepted(upstream.offer(`${id} ${offered}`, call))) {
        this.recordAccepted(now, chosen, `${id} ${offered}`);
        return;
      }
    }
  }

  private recordAccepted(now: number, upstream: number, id: string): void {
    const calls = this.calledAt[upstream];
    const hangs = calls?.length === 0 && upstream < this.hungCount;
    calls?.push(now);
    const endsAt = now + (hangs ? HANG_MILLISECONDS : CALL_MILLISECONDS);
    this.pending.push({endsAt, upstream, id});
  }

  private answerDueCalls(now: number): void {
    const isDue = ({endsAt}: {endsAt: number}) => endsAt <= now;
    for (const {upstream, id} of this.pending.filter(isDue)) {
      this.upstreams[upstream]?.handle({
        kind: 'upstream-answered',
        callId: id,
        status: 200,
        isShed: false,
        answer: undefined,
      });
    }
    this.pending = this.pending.filter((call) => !isDue(call));
  }
}

describe('a starting service', () => {
  it.each([1, 2, 3, 4, 5])(
    'keeps most healthy upstreams in use while many first calls hang (seed %i)',
    (seed) => {
      const service = new StartingService(seed, 40, 16);
      service.run(HANG_MILLISECONDS, 3);
      expect(
        service.minimumUsedShare(MAXIMUM_IDLE_MILLISECONDS, HANG_MILLISECONDS),
      ).toBeGreaterThanOrEqual(MINIMUM_USED_SHARE);
    },
  );
});
