// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * The log comes back as it was some time ago: confirmed changes and claims are gone, and
 * their offsets are given out again. What was accepted stays in force everywhere, or
 * operators are told by name what does not.
 */

import {describe, expect, it} from 'vitest';
import type {RandomSource} from '@lockpin/types';
import {seededRandom} from '@lockpin/utils';
import {ControlWorld} from './__fixtures__/controlWorld.js';
import type {WorldNode} from './__fixtures__/controlWorld.js';

/** A change is in force everywhere in this time. */
const CONFIGURATION_MILLISECONDS = 16_000;

const SETTINGS = {
  snapshots: {everyRecords: 5, everyMilliseconds: 3_600_000},
};

function startWorld(nodes: number, seed = 1): ControlWorld {
  const world = new ControlWorld(seed, SETTINGS);
  for (let i = 0; i < nodes; i += 1) {
    world.start(`box-${i}`, `data-centre-${i % 2}`);
  }
  const areReady = (): boolean => world.nodes.every(({brain}) => brain.isReady);
  expect(world.runUntil(areReady)).toBe(true);
  return world;
}

function node(world: ControlWorld, i: number): WorldNode {
  return world.nodes[i % world.nodes.length] as WorldNode;
}

function publishMany(world: ControlWorld, from: number, to: number): void {
  for (let i = from; i < to; i += 1) {
    world.publish(node(world, i), `change-${i}`, `customer-${i}`);
    expect(world.runUntil(() => world.settlements.has(`change-${i}`))).toBe(
      true,
    );
  }
}

/** Whether every node that runs has these customers in force. */
function allHave(world: ControlWorld, from: number, to: number): boolean {
  return world.nodes
    .filter(({isUp}) => isUp)
    .every(({brain}) => {
      const {state} = brain.keeper;
      return (
        brain.isReady &&
        Array.from({length: to - from}, (_, i) => `customer-${from + i}`).every(
          (name) => state.get('Customer', name) !== undefined,
        )
      );
    });
}

describe('a change that was accepted before the log was restored', () => {
  it('stays in force everywhere, and comes into force where nodes start after', () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const world = startWorld(6, seed);
      publishMany(world, 0, 5);
      world.run(seed * 1000);
      const copiedAt = world.now;
      world.run(100);
      publishMany(world, 5, 8);
      world.run(3000);
      world.restoreLogTo(copiedAt);
      world.run(CONFIGURATION_MILLISECONDS);
      expect(allHave(world, 0, 8)).toBe(true);
      world.nodes.forEach((one) => world.stop(one));
      world.nodes.forEach(({box, dataCentre}) => world.start(box, dataCentre));
      expect(world.runUntil(() => allHave(world, 0, 8))).toBe(true);
      expect(world.digests().size).toBe(1);
    }
  });

  it('is written again once, not by every node', () => {
    const world = startWorld(8, 3);
    publishMany(world, 0, 4);
    const copiedAt = world.now;
    world.run(100);
    publishMany(world, 4, 6);
    world.restoreLogTo(copiedAt);
    world.run(2 * CONFIGURATION_MILLISECONDS);
    expect(world.log.streams.configuration.records).toHaveLength(6);
  });
});

describe('a change that is offered after the log was restored', () => {
  it('is accepted and in force everywhere', () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const world = startWorld(6, seed);
      publishMany(world, 0, 4);
      world.run(seed * 1000);
      const copiedAt = world.now;
      world.run(100);
      publishMany(world, 4, 7);
      world.restoreLogTo(copiedAt);
      world.publish(node(world, seed), 'later', 'customer-7');
      expect(world.runUntil(() => world.settlements.has('later'))).toBe(true);
      expect(world.settlements.get('later')).toMatchObject({
        outcome: {kind: 'accepted'},
      });
      const spread = (): boolean => allHave(world, 0, 8);
      expect(world.runUntil(spread, CONFIGURATION_MILLISECONDS)).toBe(true);
      expect(world.digests().size).toBe(1);
    }
  });

  it('keeps an earlier one out only where both change the same, and operators hear so', () => {
    const world = startWorld(4, 5);
    publishMany(world, 0, 3);
    const copiedAt = world.now;
    world.run(100);
    world.publish(node(world, 0), 'first', 'same');
    expect(world.runUntil(() => world.settlements.has('first'))).toBe(true);
    world.run(2000);
    world.restoreLogTo(copiedAt);
    // Before any node can know of the restore.
    world.appendPastNodes('configuration', {
      kind: 'change',
      changeId: 'second',
      author: 'test',
      writes: [
        {
          operation: 'put',
          kind: 'Customer',
          name: 'same',
          basedOn: 0,
          spec: {},
        },
      ],
    });
    world.run(2 * CONFIGURATION_MILLISECONDS);
    expect(world.digests().size).toBe(1);
    expect(allHave(world, 0, 3)).toBe(true);
    const told = world.nodes.flatMap(({timeline}) => timeline);
    expect(told).toContain('change-lost first');
  });
});

/** Does one thing to a fleet whose log is restored again and again. */
function disturb(world: ControlWorld, random: RandomSource): void {
  const one = node(world, Math.floor(random() * world.nodes.length));
  const away = node(world, Math.floor(random() * world.nodes.length)).box;
  const faults = [
    () => world.restoreLogTo(world.now - random() * 6000),
    () => world.restoreLogTo(world.now - random() * 2000),
    () => (world.usesLog = (box) => box !== away),
    () => (world.reaches = (from, to) => from !== away && to !== away),
    () => (world.reaches = (from) => from !== away),
    () => (world.log.isAway = !world.log.isAway),
    () => (world.log.losesConfirmations = !world.log.losesConfirmations),
    () => world.stop(one),
    () => one.isUp || world.start(one.box, one.dataCentre),
  ];
  faults[Math.floor(random() * faults.length)]?.();
}

/** Everything works again, and every node runs. */
function heal(world: ControlWorld): void {
  world.usesLog = () => true;
  world.reaches = () => true;
  world.log.isAway = false;
  world.log.losesConfirmations = false;
  world.nodes
    .filter(({isUp}) => !isUp)
    .forEach(({box, dataCentre}) => world.start(box, dataCentre));
}

/** What is wrong after a time of all kinds of faults; nothing is as it should be. */
function problemsAfterFaults(seed: number): readonly string[] {
  const random = seededRandom(seed);
  const world = startWorld(6, seed);
  let offered = 0;
  for (let i = 0; i < 25; i += 1) {
    disturb(world, random);
    const up = world.nodes.filter(({isUp}) => isUp);
    const author = up[Math.floor(random() * up.length)];
    if (author !== undefined && random() < 0.6) {
      world.publish(author, `change-${offered}`, `customer-${offered}`);
      offered += 1;
    }
    // One node at least keeps the fleet's memory.
    if (up.length <= 2) {
      heal(world);
    }
    world.run(random() * 3000);
  }
  heal(world);
  world.publish(node(world, 0), 'last', 'last');
  const agree = (): boolean =>
    world.settlements.has('last') &&
    world.digests().size === 1 &&
    world.nodes.every(({brain}) => brain.isReady);
  const found = world.runUntil(agree, 90_000) ? [] : ['no agreement'];
  const told = new Set(world.nodes.flatMap(({timeline}) => timeline));
  const {state} = node(world, 0).brain.keeper;
  const lost = [...world.settlements].filter(
    ([changeId, settlement]) =>
      settlement.kind === 'outcome' &&
      settlement.outcome.kind === 'accepted' &&
      state.outcomeOf(changeId)?.kind !== 'accepted' &&
      !told.has(`change-lost ${changeId}`),
  );
  return [...found, ...lost.map(([changeId]) => `${changeId} is lost`)];
}

describe('a fleet to which anything happens while its log is restored', () => {
  it('agrees again, and no accepted change is lost without a word', () => {
    const problems = Array.from({length: 20}, (_, i) => i + 1).flatMap((seed) =>
      problemsAfterFaults(seed).map((problem) => ({seed, problem})),
    );
    expect(problems).toEqual([]);
  });
});
