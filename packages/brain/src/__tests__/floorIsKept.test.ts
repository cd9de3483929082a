// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Tests that ejections keep the floor under faults of messages and nodes. */

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {FloorSimulation, UPSTREAMS} from './__fixtures__/floorSimulation.js';
import type {Message, Step} from './__fixtures__/floorSimulation.js';

const guardNumber = fc.nat({max: UPSTREAMS - 1});

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('fail-calls' as const),
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
      kind: fc.constant('complete-calls' as const),
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
    let maximumEjected = 0;
    let stepsAtFloor = 0;
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: UPSTREAMS - 1}),
        fc.array(step, {minLength: 30, maxLength: 150}),
        (floorSlots, steps) => {
          const simulation = new FloorSimulation(floorSlots);
          for (const next of steps) {
            simulation.run(next);
            stepsAtFloor +=
              simulation.ejectedCount() === UPSTREAMS - floorSlots ? 1 : 0;
            maximumEjected = Math.max(
              maximumEjected,
              simulation.ejectedCount(),
            );
            expect(simulation.ejectedCount()).toBeLessThanOrEqual(
              UPSTREAMS - floorSlots,
            );
          }
        },
      ),
      {numRuns: 800, seed: 7},
    );
    // The property is vacuous unless upstreams are ejected.
    expect(maximumEjected).toBeGreaterThan(2);
    expect(stepsAtFloor).toBeGreaterThan(1000);
  });
});

describe('the floor after the log is restored', () => {
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
    let maximumEjected = 0;
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: UPSTREAMS - 1}),
        fc.array(stepOrRestore, {minLength: 30, maxLength: 150}),
        (floorSlots, steps) => {
          const simulation = new FloorSimulation(floorSlots);
          for (const next of steps) {
            simulation.run(next);
            maximumEjected = Math.max(
              maximumEjected,
              simulation.ejectedCount(),
            );
            expect(simulation.ejectedCount()).toBeLessThanOrEqual(
              UPSTREAMS - floorSlots,
            );
          }
        },
      ),
      {numRuns: 800, seed: 11},
    );
    expect(maximumEjected).toBeGreaterThan(2);
  });
});

/** Removes the latest report of a guard from the messages in transit. */
function takeReport(simulation: FloorSimulation, guard: number): Message {
  const at = simulation.messages.findLastIndex(
    (message) => message.kind === 'report' && message.guard === guard,
  );
  const [message] = simulation.messages.splice(at, 1);
  if (message === undefined) {
    throw new Error(`guard ${guard} has sent no report`);
  }
  return message;
}

/** Passes a report to a holder and returns its reply without delivering it. */
function replyOf(
  simulation: FloorSimulation,
  message: Message,
  holder: number,
): Message {
  if (message.kind !== 'report') {
    throw new Error('expected a report');
  }
  const {guard, report} = message;
  const reply = simulation.holders[holder]?.report(simulation.now, report);
  if (reply === undefined) {
    throw new Error(`holder ${holder} does not exist`);
  }
  return {kind: 'reply', guard, reply};
}

function deliver(simulation: FloorSimulation, message: Message): void {
  simulation.messages.push(message);
  simulation.deliverAt(simulation.messages.length - 1, false);
}

/** Lets all guards report to one holder and delivers its replies. */
function reportToHolder(simulation: FloorSimulation, holder: number): void {
  for (let i = 0; i < UPSTREAMS; i += 1) {
    simulation.learnFence(i);
  }
  simulation.messages.length = 0;
  simulation.run({kind: 'tick', milliseconds: 3000});
  for (let i = 0; i < UPSTREAMS; i += 1) {
    deliver(simulation, replyOf(simulation, takeReport(simulation, i), holder));
  }
}

function requestEjection(
  simulation: FloorSimulation,
  guard: number,
  holder: number,
): Message {
  simulation.runCalls(guard, 500);
  return replyOf(simulation, takeReport(simulation, guard), holder);
}

describe('a permit', () => {
  it('of a paused holder is not taken once a later fence is known', () => {
    const simulation = new FloorSimulation(UPSTREAMS - 1);
    reportToHolder(simulation, 0);
    const lateReply = requestEjection(simulation, 0, 0);
    simulation.addHolder();
    reportToHolder(simulation, 1);
    deliver(simulation, requestEjection(simulation, 1, 1));
    expect(simulation.ejectedCount()).toBe(1);
    deliver(simulation, lateReply);
    expect(simulation.ejectedCount()).toBe(1);
  });

  it('is not taken once the log was restored and another has its offset', () => {
    const simulation = new FloorSimulation(UPSTREAMS - 1);
    reportToHolder(simulation, 0);
    const lateReply = requestEjection(simulation, 0, 0);
    simulation.restoreLog(1);
    simulation.addHolder();
    reportToHolder(simulation, 1);
    deliver(simulation, requestEjection(simulation, 1, 1));
    expect(simulation.ejectedCount()).toBe(1);
    deliver(simulation, lateReply);
    expect(simulation.ejectedCount()).toBe(1);
  });

  it('is not granted by a new holder before all guards know its fence', () => {
    const simulation = new FloorSimulation(UPSTREAMS - 1);
    reportToHolder(simulation, 0);
    simulation.addHolder();
    for (let i = 0; i < UPSTREAMS - 1; i += 1) {
      simulation.learnFence(i);
    }
    simulation.run({kind: 'tick', milliseconds: 3000});
    for (let i = 0; i < UPSTREAMS; i += 1) {
      deliver(simulation, replyOf(simulation, takeReport(simulation, i), 1));
    }
    deliver(simulation, requestEjection(simulation, 0, 1));
    expect(simulation.ejectedCount()).toBe(0);
  });

  it('is not taken by a restarted guard that has not read the holders', () => {
    const simulation = new FloorSimulation(UPSTREAMS - 1);
    reportToHolder(simulation, 0);
    simulation.addHolder();
    reportToHolder(simulation, 1);
    deliver(simulation, requestEjection(simulation, 1, 1));
    simulation.startGuard(0, true);
    simulation.learnFence(0, 1);
    const permit = requestEjection(simulation, 0, 0);
    expect(permit).toMatchObject({reply: {decision: {kind: 'granted'}}});
    deliver(simulation, permit);
    expect(simulation.ejectedCount()).toBe(1);
  });

  it('for a withdrawn request is not accepted for the next one', () => {
    const simulation = new FloorSimulation(UPSTREAMS - 1);
    reportToHolder(simulation, 0);
    const lateReply = requestEjection(simulation, 0, 0);
    simulation.runCalls(0, 200, 300);
    reportToHolder(simulation, 0);
    expect(simulation.ejectedCount()).toBe(0);
    deliver(simulation, requestEjection(simulation, 1, 0));
    expect(simulation.ejectedCount()).toBe(1);
    simulation.runCalls(0, 500);
    deliver(simulation, lateReply);
    expect(simulation.ejectedCount()).toBe(1);
  });

  it('counts until its guard has moved on, though its grant was lost', () => {
    const simulation = new FloorSimulation(UPSTREAMS - 1);
    reportToHolder(simulation, 0);
    const lostReply = requestEjection(simulation, 0, 0);
    expect(lostReply.kind).toBe('reply');
    simulation.run({kind: 'tick', milliseconds: 150});
    replyOf(simulation, takeReport(simulation, 0), 0);
    deliver(simulation, requestEjection(simulation, 1, 0));
    expect(simulation.ejectedCount()).toBe(0);
    deliver(simulation, lostReply);
    expect(simulation.ejectedCount()).toBe(1);
  });

  it('is revoked when the floor needs the upstream', () => {
    const simulation = new FloorSimulation(UPSTREAMS - 1);
    reportToHolder(simulation, 0);
    deliver(simulation, requestEjection(simulation, 0, 0));
    expect(simulation.ejectedCount()).toBe(1);
    simulation.messages.length = 0;
    simulation.run({kind: 'tick', milliseconds: 7000});
    deliver(simulation, replyOf(simulation, takeReport(simulation, 0), 0));
    expect(simulation.ejectedCount()).toBe(0);
  });
});
