// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Injects every fault at each step of a configuration change or a restart. */

import {describe, expect, it} from 'vitest';
import {ControlSimulation} from './__fixtures__/controlSimulation.js';
import type {SimulatedNode} from './__fixtures__/controlSimulation.js';

const SETTINGS = {snapshots: {everyRecords: 4, everyMilliseconds: 3_600_000}};
const NODES = 5;

/** Time between the steps at which a fault is injected. */
const STEP_MILLISECONDS = 40;
const STEPS = 30;

/** Duration of a fault. */
const FAULT_MILLISECONDS = 4000;

interface Fault {
  readonly name: string;
  readonly begin: (simulation: ControlSimulation) => void;
  readonly end: (simulation: ControlSimulation) => void;
}

const isPublisher = (box: string): boolean => box === 'box-0';

const FAULTS: readonly Fault[] = [
  {
    name: 'the log is unavailable',
    begin: ({log}) => void (log.isUnavailable = true),
    end: ({log}) => void (log.isUnavailable = false),
  },
  {
    name: 'the log is slow',
    begin: ({log}) => void (log.slowMilliseconds = 3000),
    end: ({log}) => void (log.slowMilliseconds = 0),
  },
  {
    name: 'confirmations are lost',
    begin: ({log}) => void (log.losesConfirmations = true),
    end: ({log}) => void (log.losesConfirmations = false),
  },
  {
    name: 'appends are lost',
    begin: ({log}) => void (log.losesAppends = true),
    end: ({log}) => void (log.losesAppends = false),
  },
  {
    name: 'the log retains only three records',
    begin: (simulation) => simulation.retain('configuration', 3),
    end: () => undefined,
  },
  {
    name: 'the publishing node is replaced',
    begin: (simulation) => void simulation.start('box-0', 'data-centre-0'),
    end: () => undefined,
  },
  {
    name: 'another node is replaced',
    begin: (simulation) => void simulation.start('box-3', 'data-centre-1'),
    end: () => undefined,
  },
  {
    name: 'the publishing node is isolated',
    begin: (simulation) =>
      void (simulation.canReach = (from, to) =>
        !isPublisher(from) && !isPublisher(to)),
    end: (simulation) => void (simulation.canReach = () => true),
  },
  {
    name: 'the publishing node receives no messages',
    begin: (simulation) =>
      void (simulation.canReach = (_from, to) => !isPublisher(to)),
    end: (simulation) => void (simulation.canReach = () => true),
  },
  {
    name: 'only one node reaches the log',
    begin: (simulation) =>
      void (simulation.canUseLog = (box) => box === 'box-1'),
    end: (simulation) => void (simulation.canUseLog = () => true),
  },
  {
    name: 'a data centre is lost',
    begin: (simulation) =>
      simulation.nodes
        .filter(({dataCentre}) => dataCentre === 'data-centre-1')
        .forEach((node) => simulation.stop(node)),
    end: (simulation) =>
      simulation.nodes
        .filter(({isUp}) => !isUp)
        .forEach(({box, dataCentre}) => void simulation.start(box, dataCentre)),
  },
];

function nodeAt(simulation: ControlSimulation, i: number): SimulatedNode {
  return simulation.nodes[i] as SimulatedNode;
}

function startSimulation(): ControlSimulation {
  const simulation = new ControlSimulation(4, SETTINGS);
  for (let i = 0; i < NODES; i += 1) {
    simulation.start(`box-${i}`, `data-centre-${i % 2}`);
  }
  expect(
    simulation.runUntil(() =>
      simulation.nodes.every(({stateMachine}) => stateMachine.isReady),
    ),
  ).toBe(true);
  for (let i = 0; i < 3; i += 1) {
    simulation.publish(nodeAt(simulation, 0), `base-${i}`, `base-${i}`);
    expect(
      simulation.runUntil(() => simulation.settlements.has(`base-${i}`)),
    ).toBe(true);
  }
  expect(simulation.runUntil(() => simulation.isEverywhere(3))).toBe(true);
  return simulation;
}

/** Publishes two changes around the start of a fault, then ends the fault. */
function runWithFault(fault: Fault, step: number): ControlSimulation {
  const simulation = startSimulation();
  simulation.publish(nodeAt(simulation, 0), 'one', 'customer-one');
  simulation.run(step * STEP_MILLISECONDS);
  fault.begin(simulation);
  simulation.publish(nodeAt(simulation, 2), 'two', 'customer-two');
  simulation.run(FAULT_MILLISECONDS);
  fault.end(simulation);
  simulation.run(20_000);
  return simulation;
}

/** Checks that all nodes have what is in the log in force, and nothing else. */
function checkConsistency(simulation: ControlSimulation): void {
  const {first, records} = simulation.log.streams.configuration;
  const version = first + records.length;
  expect(simulation.runUntil(() => simulation.isEverywhere(version))).toBe(
    true,
  );
  expect(simulation.digests().size).toBe(1);
  for (const [changeId, settlement] of simulation.settlements) {
    const name = changeId.startsWith('base')
      ? changeId
      : `customer-${changeId}`;
    const isPresent = simulation.nodes.map(
      ({stateMachine}) =>
        stateMachine.replica.state.get('Customer', name) !== undefined,
    );
    const isAccepted =
      settlement.kind === 'outcome' && settlement.outcome.kind === 'accepted';
    const isNotPublished =
      settlement.kind === 'failure' &&
      settlement.failure.kind === 'log-unavailable' &&
      settlement.failure.outcome === 'not-published';
    if (isAccepted) {
      expect(isPresent).toEqual(isPresent.map(() => true));
    }
    if (isNotPublished) {
      expect(isPresent).toEqual(isPresent.map(() => false));
    }
  }
}

describe('a configuration change', () => {
  it.each(FAULTS)('is kept or refused truthfully when $name', (fault) => {
    for (let step = 0; step < STEPS; step += 1) {
      checkConsistency(runWithFault(fault, step));
    }
  });

  it('is kept or refused truthfully when two faults come at once', () => {
    for (const [i, one] of FAULTS.entries()) {
      for (const other of FAULTS.slice(i + 1)) {
        const combined: Fault = {
          name: `${one.name}, ${other.name}`,
          begin: (simulation) => {
            one.begin(simulation);
            other.begin(simulation);
          },
          end: (simulation) => {
            one.end(simulation);
            other.end(simulation);
          },
        };
        checkConsistency(runWithFault(combined, 3));
      }
    }
  });
});

describe('a restart', () => {
  it.each(FAULTS)('comes to the same state when $name', (fault) => {
    for (let step = 0; step < STEPS; step += 1) {
      const simulation = startSimulation();
      simulation.run(30_000);
      simulation.start('box-4', 'data-centre-0');
      simulation.run(step * STEP_MILLISECONDS);
      fault.begin(simulation);
      simulation.run(FAULT_MILLISECONDS);
      fault.end(simulation);
      simulation.run(20_000);
      checkConsistency(simulation);
    }
  });

  it('never serves a version older than the one in force before', () => {
    for (let step = 0; step < STEPS; step += 1) {
      const simulation = startSimulation();
      const restarted = simulation.start('box-4', 'data-centre-0');
      simulation.run(step * STEP_MILLISECONDS);
      simulation.log.isUnavailable = true;
      simulation.run(10_000);
      if (restarted.stateMachine.isReady) {
        expect(restarted.stateMachine.replica.version).toBe(3);
      }
    }
  });
});
