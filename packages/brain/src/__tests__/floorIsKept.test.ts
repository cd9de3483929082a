// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Ejection spares the floor, whatever happens to messages, holders and guards. */

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {FloorWorld, UPSTREAMS} from './__fixtures__/floorWorld.js';
import type {Message, Step} from './__fixtures__/floorWorld.js';

const guardNumber = fc.nat({max: UPSTREAMS - 1});

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('sicken' as const),
      guard: guardNumber,
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('tick' as const),
      milliseconds: fc.constantFrom(50, 400, 3000, 16_000),
    }),
  },
  {
    weight: 20,
    arbitrary: fc.record({
      kind: fc.constant('deliver' as const),
      message: fc.nat({max: 50}),
      again: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('drop' as const),
      message: fc.nat({max: 50}),
    }),
  },
  {weight: 1, arbitrary: fc.record({kind: fc.constant('new-holder' as const)})},
  {
    weight: 4,
    arbitrary: fc.record({kind: fc.constant('deliver-all' as const)}),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('heal' as const),
      guard: guardNumber,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('learn-fence' as const),
      guard: guardNumber,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('restart' as const),
      guard: guardNumber,
      logIsAway: fc.boolean(),
    }),
  },
);

describe('the floor', () => {
  it('holds at every step of any interleaving', () => {
    let mostEjected = 0;
    let atFloor = 0;
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: UPSTREAMS - 1}),
        fc.array(step, {minLength: 30, maxLength: 150}),
        (floorSlots, steps) => {
          const world = new FloorWorld(floorSlots);
          for (const next of steps) {
            world.run(next);
            atFloor += world.ejectedCount() === UPSTREAMS - floorSlots ? 1 : 0;
            mostEjected = Math.max(mostEjected, world.ejectedCount());
            expect(world.ejectedCount()).toBeLessThanOrEqual(
              UPSTREAMS - floorSlots,
            );
          }
        },
      ),
      {numRuns: 800, seed: 7},
    );
    // Without ejections the property would say nothing.
    expect(mostEjected).toBeGreaterThan(2);
    expect(atFloor).toBeGreaterThan(1000);
  });
});

describe('the floor of a fleet whose log is restored', () => {
  const stepOrRestore = fc.oneof(
    {weight: 50, arbitrary: step},
    {
      weight: 1,
      arbitrary: fc.record({
        kind: fc.constant('restore-log' as const),
        lost: fc.nat({max: 3}),
      }),
    },
    {
      weight: 2,
      arbitrary: fc.record({kind: fc.constant('new-holder' as const)}),
    },
  );

  it('holds though offsets of claims are given out again', () => {
    let mostEjected = 0;
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: UPSTREAMS - 1}),
        fc.array(stepOrRestore, {minLength: 30, maxLength: 150}),
        (floorSlots, steps) => {
          const world = new FloorWorld(floorSlots);
          for (const next of steps) {
            world.run(next);
            mostEjected = Math.max(mostEjected, world.ejectedCount());
            expect(world.ejectedCount()).toBeLessThanOrEqual(
              UPSTREAMS - floorSlots,
            );
          }
        },
      ),
      {numRuns: 800, seed: 11},
    );
    expect(mostEjected).toBeGreaterThan(2);
  });
});

/** Takes the newest report of a guard out of what is under way. */
function takeReport(world: FloorWorld, guard: number): Message {
  const at = world.messages.findLastIndex(
    (message) => message.kind === 'report' && message.guard === guard,
  );
  const [message] = world.messages.splice(at, 1);
  if (message === undefined) {
    throw new Error(`guard ${guard} has sent no report`);
  }
  return message;
}

/** Lets a holder answer a report; the reply is handed back, not delivered. */
function answerOf(
  world: FloorWorld,
  message: Message,
  holder: number,
): Message {
  if (message.kind !== 'report') {
    throw new Error('only a report is answered');
  }
  const {guard, report} = message;
  const reply = world.holders[holder]?.report(world.now, report);
  if (reply === undefined) {
    throw new Error(`there is no holder ${holder}`);
  }
  return {kind: 'reply', guard, reply};
}

function deliver(world: FloorWorld, message: Message): void {
  world.messages.push(message);
  world.deliverAt(world.messages.length - 1, false);
}

/** All guards report and hear the answer of one holder. */
function acknowledge(world: FloorWorld, holder: number): void {
  for (let i = 0; i < UPSTREAMS; i += 1) {
    world.learnFence(i);
  }
  world.messages.length = 0;
  world.run({kind: 'tick', milliseconds: 3000});
  for (let i = 0; i < UPSTREAMS; i += 1) {
    deliver(world, answerOf(world, takeReport(world, i), holder));
  }
}

function eject(world: FloorWorld, guard: number, holder: number): Message {
  world.callMany(guard, 500);
  return answerOf(world, takeReport(world, guard), holder);
}

describe('a permit', () => {
  it('of a paused holder is not taken once a later fence is known', () => {
    const world = new FloorWorld(UPSTREAMS - 1);
    acknowledge(world, 0);
    const late = eject(world, 0, 0);
    world.newHolder();
    acknowledge(world, 1);
    deliver(world, eject(world, 1, 1));
    expect(world.ejectedCount()).toBe(1);
    deliver(world, late);
    expect(world.ejectedCount()).toBe(1);
  });

  it('is not taken once the log was restored and another has its offset', () => {
    const world = new FloorWorld(UPSTREAMS - 1);
    acknowledge(world, 0);
    const late = eject(world, 0, 0);
    world.restoreLog(1);
    world.newHolder();
    acknowledge(world, 1);
    deliver(world, eject(world, 1, 1));
    expect(world.ejectedCount()).toBe(1);
    deliver(world, late);
    expect(world.ejectedCount()).toBe(1);
  });

  it('is not given by a new holder before all guards know its fence', () => {
    const world = new FloorWorld(UPSTREAMS - 1);
    acknowledge(world, 0);
    world.newHolder();
    for (let i = 0; i < UPSTREAMS - 1; i += 1) {
      world.learnFence(i);
    }
    world.run({kind: 'tick', milliseconds: 3000});
    for (let i = 0; i < UPSTREAMS; i += 1) {
      deliver(world, answerOf(world, takeReport(world, i), 1));
    }
    deliver(world, eject(world, 0, 1));
    expect(world.ejectedCount()).toBe(0);
  });

  it('is not taken by a restarted guard that has not read the holders', () => {
    const world = new FloorWorld(UPSTREAMS - 1);
    acknowledge(world, 0);
    world.newHolder();
    acknowledge(world, 1);
    deliver(world, eject(world, 1, 1));
    world.startGuard(0, true);
    world.learnFence(0, 1);
    const permit = eject(world, 0, 0);
    expect(permit).toMatchObject({reply: {decision: {kind: 'granted'}}});
    deliver(world, permit);
    expect(world.ejectedCount()).toBe(1);
  });

  it('for a request that was taken back is not taken for the next', () => {
    const world = new FloorWorld(UPSTREAMS - 1);
    acknowledge(world, 0);
    const late = eject(world, 0, 0);
    world.callMany(0, 200, 300);
    acknowledge(world, 0);
    expect(world.ejectedCount()).toBe(0);
    deliver(world, eject(world, 1, 0));
    expect(world.ejectedCount()).toBe(1);
    world.callMany(0, 500);
    deliver(world, late);
    expect(world.ejectedCount()).toBe(1);
  });

  it('counts until its guard has moved on, though its grant was lost', () => {
    const world = new FloorWorld(UPSTREAMS - 1);
    acknowledge(world, 0);
    const lost = eject(world, 0, 0);
    expect(lost.kind).toBe('reply');
    world.run({kind: 'tick', milliseconds: 150});
    answerOf(world, takeReport(world, 0), 0);
    deliver(world, eject(world, 1, 0));
    expect(world.ejectedCount()).toBe(0);
    deliver(world, lost);
    expect(world.ejectedCount()).toBe(1);
  });

  it('is called back when the floor needs the upstream', () => {
    const world = new FloorWorld(UPSTREAMS - 1);
    acknowledge(world, 0);
    deliver(world, eject(world, 0, 0));
    expect(world.ejectedCount()).toBe(1);
    world.messages.length = 0;
    world.run({kind: 'tick', milliseconds: 7000});
    deliver(world, answerOf(world, takeReport(world, 0), 0));
    expect(world.ejectedCount()).toBe(0);
  });
});
