// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Healthy upstreams of a service whose calls cannot be repeated stay in use. */

import {describe, expect, it} from 'vitest';
import {seededRandom} from '@lockpin/utils';
import type {GuardAction, GuardCall} from '../guard/guardMessages.js';
import {GuardWorld} from './__fixtures__/guardWorld.js';

/** No healthy upstream goes without calls for this long while callers wait. */
const LONGEST_IDLE_MILLISECONDS = 2000;

/** Share of the healthy upstreams that calls must reach within that time. */
const FLOOR_SHARE = 0.7;

const GOAL_MILLISECONDS = 3000;
const RUN_MILLISECONDS = 900;
const HANG_MILLISECONDS = 10_000;
const SLOTS = 7;
const STEP_MILLISECONDS = 20;

/** Upstreams to which an entry offers one call. */
const OFFERS = 8;

const ONCE = {
  repetition: 'at-most-once',
  needsGo: false,
  mayWait: false,
} as const;

function isAccepted(actions: readonly GuardAction[]): boolean {
  return actions.some(({kind}) => kind === 'run');
}

/** The time until the next call is accepted, offered again and again. */
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

describe('an upstream that lets one call hang', () => {
  it('gets another within two seconds if it was its first', () => {
    const world = new GuardWorld(SLOTS);
    world.offer('hangs', {...ONCE, usefulUntil: GOAL_MILLISECONDS});
    expect(idleMilliseconds(world)).toBeLessThan(LONGEST_IDLE_MILLISECONDS);
  });

  it('gets another within two seconds if it has answered before', () => {
    const world = new GuardWorld(SLOTS);
    world.run('well', 200);
    const expectedMilliseconds = RUN_MILLISECONDS;
    world.offer('hangs', {...ONCE, expectedMilliseconds});
    world.now += 3 * RUN_MILLISECONDS;
    expect(idleMilliseconds(world, {expectedMilliseconds})).toBeLessThan(
      LONGEST_IDLE_MILLISECONDS,
    );
  });
});

/** The upstreams of one service, offered calls that cannot be repeated. */
class StartingService {
  readonly calledAt: number[][];
  private readonly upstreams: readonly GuardWorld[];
  private readonly random;
  private ends: {at: number; upstream: number; id: string}[] = [];

  constructor(
    seed: number,
    count: number,
    private readonly hangFirst: number,
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
      this.end(now);
      for (let i = 0; i < callsPerStep; i += 1) {
        this.call(now, `${now} ${i}`);
      }
    }
  }

  /** Share of the upstreams that got a call in each span of the given length. */
  leastShareUsed(span: number, until: number): number {
    let least = 1;
    for (let from = 0; from + span <= until; from += STEP_MILLISECONDS) {
      const used = this.calledAt.filter((times) =>
        times.some((time) => time > from && time <= from + span),
      );
      least = Math.min(least, used.length / this.upstreams.length);
    }
    return least;
  }

  private call(now: number, id: string): void {
    const usefulUntil = now + GOAL_MILLISECONDS;
    for (let offered = 0; offered < OFFERS; offered += 1) {
      const chosen = Math.floor(this.random() * this.upstreams.length);
      const upstream = this.upstreams[chosen];
      const call = {...ONCE, usefulUntil};
      if (upstream && isAccepted(upstream.offer(`${id} ${offered}`, call))) {
        this.accepted(now, chosen, `${id} ${offered}`);
        return;
      }
    }
  }

  private accepted(now: number, upstream: number, id: string): void {
    const calls = this.calledAt[upstream];
    const hangs = calls?.length === 0 && upstream < this.hangFirst;
    calls?.push(now);
    const at = now + (hangs ? HANG_MILLISECONDS : RUN_MILLISECONDS);
    this.ends.push({at, upstream, id});
  }

  private end(now: number): void {
    const isOver = ({at}: {at: number}) => at <= now;
    for (const {upstream, id} of this.ends.filter(isOver)) {
      this.upstreams[upstream]?.tell({
        kind: 'upstream-answered',
        callId: id,
        status: 200,
        isShed: false,
        answer: undefined,
      });
    }
    this.ends = this.ends.filter((end) => !isOver(end));
  }
}

describe('a service that starts', () => {
  it.each([1, 2, 3, 4, 5])(
    'uses its floor of healthy upstreams though many first calls hang (seed %i)',
    (seed) => {
      const service = new StartingService(seed, 40, 16);
      service.run(HANG_MILLISECONDS, 3);
      expect(
        service.leastShareUsed(LONGEST_IDLE_MILLISECONDS, HANG_MILLISECONDS),
      ).toBeGreaterThanOrEqual(FLOOR_SHARE);
    },
  );
});
