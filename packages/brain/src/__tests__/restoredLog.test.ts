// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Restores the log from an older copy: confirmed changes and claims are lost,
 * and their offsets are assigned again. Accepted changes must stay in force on
 * every node, or operators must be told by name which ones do not.
 */

import {describe, expect, it} from 'vitest';
import type {RandomSource} from '@lockpin/types';
import {seededRandom} from '@lockpin/utils';
import {ControlSimulation} from './__fixtures__/controlSimulation.js';
import type {SimulatedNode} from './__fixtures__/controlSimulation.js';

/** A change is in force on every node within this time. */
const CONFIGURATION_MILLISECONDS = 16_000;

const SETTINGS = {
  snapshots: {everyRecords: 5, everyMilliseconds: 3_600_000},
};

function startSimulation(nodes: number, seed = 1): ControlSimulation {
  const simulation = new ControlSimulation(seed, SETTINGS);
  for (let i = 0; i < nodes; i += 1) {
    simulation.start(`box-${i}`, `data-centre-${i % 2}`);
  }
  const areReady = (): boolean =>
    simulation.nodes.every(({stateMachine}) => stateMachine.isReady);
  expect(simulation.runUntil(areReady)).toBe(true);
  return simulation;
}

function nodeAt(simulation: ControlSimulation, i: number): SimulatedNode {
  return simulation.nodes[i % simulation.nodes.length] as SimulatedNode;
}

function publishMany(
  simulation: ControlSimulation,
  from: number,
  to: number,
): void {
  for (let i = from; i < to; i += 1) {
    simulation.publish(nodeAt(simulation, i), `change-${i}`, `customer-${i}`);
    expect(
      simulation.runUntil(() => simulation.settlements.has(`change-${i}`)),
    ).toBe(true);
  }
}

/** Whether all running nodes have these customers in force. */
function haveCustomers(
  simulation: ControlSimulation,
  from: number,
  to: number,
): boolean {
  return simulation.nodes
    .filter(({isUp}) => isUp)
    .every(({stateMachine}) => {
      const {state} = stateMachine.replica;
      return (
        stateMachine.isReady &&
        Array.from({length: to - from}, (_, i) => `customer-${from + i}`).every(
          (name) => state.get('Customer', name) !== undefined,
        )
      );
    });
}

describe('a change accepted before the log is restored', () => {
  it('stays in force everywhere, and comes into force where nodes start after', () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const simulation = startSimulation(6, seed);
      publishMany(simulation, 0, 5);
      simulation.run(seed * 1000);
      const copiedAt = simulation.now;
      simulation.run(100);
      publishMany(simulation, 5, 8);
      simulation.run(3000);
      simulation.restoreLogTo(copiedAt);
      simulation.run(CONFIGURATION_MILLISECONDS);
      expect(haveCustomers(simulation, 0, 8)).toBe(true);
      simulation.nodes.forEach((target) => simulation.stop(target));
      simulation.nodes.forEach(({box, dataCentre}) =>
        simulation.start(box, dataCentre),
      );
      expect(simulation.runUntil(() => haveCustomers(simulation, 0, 8))).toBe(
        true,
      );
      expect(simulation.digests().size).toBe(1);
    }
  });

  it('is written again once, not by every node', () => {
    const simulation = startSimulation(8, 3);
    publishMany(simulation, 0, 4);
    const copiedAt = simulation.now;
    simulation.run(100);
    publishMany(simulation, 4, 6);
    simulation.restoreLogTo(copiedAt);
    simulation.run(2 * CONFIGURATION_MILLISECONDS);
    expect(simulation.log.streams.configuration.records).toHaveLength(6);
  });
});

describe('a change published after the log is restored', () => {
  it('is accepted and in force everywhere', () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const simulation = startSimulation(6, seed);
      publishMany(simulation, 0, 4);
      simulation.run(seed * 1000);
      const copiedAt = simulation.now;
      simulation.run(100);
      publishMany(simulation, 4, 7);
      simulation.restoreLogTo(copiedAt);
      simulation.publish(nodeAt(simulation, seed), 'later', 'customer-7');
      expect(
        simulation.runUntil(() => simulation.settlements.has('later')),
      ).toBe(true);
      expect(simulation.settlements.get('later')).toMatchObject({
        outcome: {kind: 'accepted'},
      });
      const isInForce = (): boolean => haveCustomers(simulation, 0, 8);
      expect(simulation.runUntil(isInForce, CONFIGURATION_MILLISECONDS)).toBe(
        true,
      );
      expect(simulation.digests().size).toBe(1);
    }
  });

  it('keeps an earlier one out only where both change the same, and operators hear so', () => {
    const simulation = startSimulation(4, 5);
    publishMany(simulation, 0, 3);
    const copiedAt = simulation.now;
    simulation.run(100);
    simulation.publish(nodeAt(simulation, 0), 'first', 'same');
    expect(simulation.runUntil(() => simulation.settlements.has('first'))).toBe(
      true,
    );
    simulation.run(2000);
    simulation.restoreLogTo(copiedAt);
    // Appended before any node can detect the restore.
    simulation.appendExternally('configuration', {
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
    simulation.run(2 * CONFIGURATION_MILLISECONDS);
    expect(simulation.digests().size).toBe(1);
    expect(haveCustomers(simulation, 0, 3)).toBe(true);
    const events = simulation.nodes.flatMap(({timeline}) => timeline);
    expect(events).toContain('change-lost first');
  });
});

/** Injects one random fault; a restore of the log is one of them. */
function injectFault(
  simulation: ControlSimulation,
  random: RandomSource,
): void {
  const target = nodeAt(
    simulation,
    Math.floor(random() * simulation.nodes.length),
  );
  const unreachableBox = nodeAt(
    simulation,
    Math.floor(random() * simulation.nodes.length),
  ).box;
  const faults = [
    () => simulation.restoreLogTo(simulation.now - random() * 6000),
    () => simulation.restoreLogTo(simulation.now - random() * 2000),
    () => (simulation.canUseLog = (box) => box !== unreachableBox),
    () =>
      (simulation.canReach = (from, to) =>
        from !== unreachableBox && to !== unreachableBox),
    () => (simulation.canReach = (from) => from !== unreachableBox),
    () => (simulation.log.isUnavailable = !simulation.log.isUnavailable),
    () =>
      (simulation.log.losesConfirmations = !simulation.log.losesConfirmations),
    () => simulation.stop(target),
    () => target.isUp || simulation.start(target.box, target.dataCentre),
  ];
  faults[Math.floor(random() * faults.length)]?.();
}

/** Ends all faults and starts the stopped nodes. */
function endFaults(simulation: ControlSimulation): void {
  simulation.canUseLog = () => true;
  simulation.canReach = () => true;
  simulation.log.isUnavailable = false;
  simulation.log.losesConfirmations = false;
  simulation.nodes
    .filter(({isUp}) => !isUp)
    .forEach(({box, dataCentre}) => simulation.start(box, dataCentre));
}

/** Returns the problems found after random faults; none are expected. */
function problemsAfterFaults(seed: number): readonly string[] {
  const random = seededRandom(seed);
  const simulation = startSimulation(6, seed);
  let publishedCount = 0;
  for (let i = 0; i < 25; i += 1) {
    injectFault(simulation, random);
    const up = simulation.nodes.filter(({isUp}) => isUp);
    const author = up[Math.floor(random() * up.length)];
    if (author !== undefined && random() < 0.6) {
      simulation.publish(
        author,
        `change-${publishedCount}`,
        `customer-${publishedCount}`,
      );
      publishedCount += 1;
    }
    // At least one node must keep the fleet's state in memory.
    if (up.length <= 2) {
      endFaults(simulation);
    }
    simulation.run(random() * 3000);
  }
  endFaults(simulation);
  simulation.publish(nodeAt(simulation, 0), 'last', 'last');
  const hasAgreed = (): boolean =>
    simulation.settlements.has('last') &&
    simulation.digests().size === 1 &&
    simulation.nodes.every(({stateMachine}) => stateMachine.isReady);
  const found = simulation.runUntil(hasAgreed, 90_000) ? [] : ['no agreement'];
  const events = new Set(simulation.nodes.flatMap(({timeline}) => timeline));
  const {state} = nodeAt(simulation, 0).stateMachine.replica;
  const lost = [...simulation.settlements].filter(
    ([changeId, settlement]) =>
      settlement.kind === 'outcome' &&
      settlement.outcome.kind === 'accepted' &&
      state.outcomeOf(changeId)?.kind !== 'accepted' &&
      !events.has(`change-lost ${changeId}`),
  );
  return [...found, ...lost.map(([changeId]) => `${changeId} is lost`)];
}

describe('a fleet with random faults while its log is restored', () => {
  it('agrees again, and no accepted change is lost without a word', () => {
    const problems = Array.from({length: 20}, (_, i) => i + 1).flatMap((seed) =>
      problemsAfterFaults(seed).map((problem) => ({seed, problem})),
    );
    expect(problems).toEqual([]);
  });
});
