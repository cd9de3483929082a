// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Healthy upstreams stay in use although calls that cannot be repeated hang. */

import {describe, expect, it} from 'vitest';
import {seededRandom} from '@lockpin/utils';
import type {GuardAction, GuardCall} from '../guard/guardMessages.js';
import {GuardWorld} from './__fixtures__/guardWorld.js';

/** A healthy upstream gets a call within this time while calls are offered. */
const LONGEST_IDLE_MILLISECONDS = 2000;

/** At least this share of the upstreams of a service gets a call within that time. */
const LEAST_USED_SHARE = 0.7;

const GOAL_MILLISECONDS = 3000;
const CALL_MILLISECONDS = 900;
const HANG_MILLISECONDS = 10_000;
const SLOTS = 7;
const STEP_MILLISECONDS = 20;

/** How often a call is offered before it is dropped. */
const OFFERS_PER_CALL = 8;

const ONCE = {
  repetition: 'at-most-once',
  needsGo: false,
  mayWait: false,
} as const;

function isAccepted(actions: readonly GuardAction[]): boolean {
  return actions.some(({kind}) => kind === 'run');
}

/** Offers a call at each step; returns the time until one is accepted. */
function idleMilliseconds(
  world: GuardWorld,
  change: Partial<GuardCall> = {},
): number {
  const from = world.now;
  for (let offered = 0; world.now - from < HANG_MILLISECONDS; offered += 1) {
    world.now += STEP_MILLISECONDS;
    world.tell({kind: 'tick'});
    const usefulUntil = world.now + GOAL_MILLISECONDS;
    const call = {...ONCE, usefulUntil, ...change};
    if (isAccepted(world.offer(`offer ${offered}`, call))) {
      break;
    }
  }
  return world.now - from;
}

describe('an upstream with a hung call', () => {
  it('gets another call within two seconds if none has succeeded', () => {
    const world = new GuardWorld(SLOTS);
    world.offer('hangs', {...ONCE, usefulUntil: GOAL_MILLISECONDS});
    expect(idleMilliseconds(world)).toBeLessThan(LONGEST_IDLE_MILLISECONDS);
  });

  it('gets another call within two seconds if one has succeeded', () => {
    const world = new GuardWorld(SLOTS);
    world.run('well', 200);
    const expectedMilliseconds = CALL_MILLISECONDS;
    world.offer('hangs', {...ONCE, expectedMilliseconds});
    world.now += 3 * CALL_MILLISECONDS;
    expect(idleMilliseconds(world, {expectedMilliseconds})).toBeLessThan(
      LONGEST_IDLE_MILLISECONDS,
    );
  });
});

/** Simulates the upstreams of a service whose calls cannot be repeated. */
class StartingService {
  readonly calledAt: number[][];
  private readonly upstreams: readonly GuardWorld[];
  private readonly random;
  private pending: {endsAt: number; upstream: number; id: string}[] = [];

  constructor(
    seed: number,
    count: number,
    /** Number of upstreams whose first call hangs. */
    private readonly hungCount: number,
  ) {
    this.random = seededRandom(seed);
    this.upstreams = Array.from({length: count}, () => new GuardWorld(SLOTS));
    this.calledAt = this.upstreams.map(() => []);
  }

  run(milliseconds: number, callsPerStep: number): void {
    for (let now = 0; now < milliseconds; now += STEP_MILLISECONDS) {
      this.upstreams.forEach((upstream) => {
        upstream.now = now;
        upstream.tell({kind: 'tick'});
      });
      this.answerDueCalls(now);
      for (let i = 0; i < callsPerStep; i += 1) {
        this.offerCall(now, `${now} ${i}`);
      }
    }
  }

  /** The least share of the upstreams that got a call in any span of this length. */
  leastUsedShare(span: number, until: number): number {
    let least = 1;
    for (let from = 0; from + span <= until; from += STEP_MILLISECONDS) {
      const used = this.calledAt.filter((times) =>
        times.some((time) => time > from && time <= from + span),
      );
      least = Math.min(least, used.length / this.upstreams.length);
    }
    return least;
  }

  private offerCall(now: number, id: string): void {
    const usefulUntil = now + GOAL_MILLISECONDS;
    for (let offered = 0; offered < OFFERS_PER_CALL; offered += 1) {
      const chosen = Math.floor(this.random() * this.upstreams.length);
      const upstream = this.upstreams[chosen];
      const call = {...ONCE, usefulUntil};
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
      this.upstreams[upstream]?.tell({
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

describe('a service that starts', () => {
  it.each([1, 2, 3, 4, 5])(
    'keeps most healthy upstreams in use while many first calls hang (seed %i)',
    (seed) => {
      const service = new StartingService(seed, 40, 16);
      service.run(HANG_MILLISECONDS, 3);
      expect(
        service.leastUsedShare(LONGEST_IDLE_MILLISECONDS, HANG_MILLISECONDS),
      ).toBeGreaterThanOrEqual(LEAST_USED_SHARE);
    },
  );
});
