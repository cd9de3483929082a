// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Tests that accepted changes reach all nodes and survive log faults. */

import {describe, expect, it} from 'vitest';
import {ControlSimulation} from './__fixtures__/controlSimulation.js';
import type {SimulatedNode} from './__fixtures__/controlSimulation.js';

const SMALL_SNAPSHOTS = {
  snapshots: {everyRecords: 5, everyMilliseconds: 3_600_000},
};

function startSimulation(nodes: number, seed = 1): ControlSimulation {
  const simulation = new ControlSimulation(seed, SMALL_SNAPSHOTS);
  for (let i = 0; i < nodes; i += 1) {
    simulation.start(`box-${i}`, `data-centre-${i % 2}`);
  }
  expect(
    simulation.runUntil(() =>
      simulation.nodes.every(({stateMachine}) => stateMachine.isReady),
    ),
  ).toBe(true);
  return simulation;
}

function firstNode(simulation: ControlSimulation): SimulatedNode {
  return simulation.nodes[0] as SimulatedNode;
}

/** Publishes changes one after another and waits until each is settled. */
function publishMany(
  simulation: ControlSimulation,
  from: number,
  to: number,
): void {
  for (let i = from; i < to; i += 1) {
    simulation.publish(firstNode(simulation), `change-${i}`, `customer-${i}`);
    expect(
      simulation.runUntil(() => simulation.settlements.has(`change-${i}`)),
    ).toBe(true);
  }
}

describe('configuration', () => {
  it('is in force on every node within seconds', () => {
    const simulation = startSimulation(12);
    const startedAt = simulation.now;
    simulation.publish(firstNode(simulation), 'one', 'customer');
    expect(simulation.runUntil(() => simulation.isEverywhere(1))).toBe(true);
    expect(simulation.now - startedAt).toBeLessThan(16_000);
    expect(simulation.settlements.get('one')).toEqual({
      kind: 'outcome',
      outcome: {kind: 'accepted', version: 1},
    });
  });

  it('reaches nodes that cannot read the log through their peers', () => {
    const simulation = startSimulation(8);
    simulation.canUseLog = (box) => box === 'box-0';
    simulation.publish(firstNode(simulation), 'one', 'customer');
    expect(simulation.runUntil(() => simulation.isEverywhere(1))).toBe(true);
  });

  it('gives racing operators one winner, the same everywhere', () => {
    const simulation = startSimulation(4);
    simulation.nodes.forEach((node, i) =>
      simulation.publish(node, `race-${i}`, 'same'),
    );
    const areSettled = (): boolean =>
      simulation.nodes.every((_, i) => simulation.settlements.has(`race-${i}`));
    expect(simulation.runUntil(areSettled)).toBe(true);
    const kinds = simulation.nodes.map((_, i) => {
      const settlement = simulation.settlements.get(`race-${i}`);
      return settlement?.kind === 'outcome'
        ? settlement.outcome.kind
        : 'failure';
    });
    expect(kinds.filter((kind) => kind === 'accepted')).toHaveLength(1);
    expect(kinds.filter((kind) => kind === 'conflict')).toHaveLength(3);
    expect(simulation.digests().size).toBe(1);
  });

  it('finds a change whose confirmation was lost by reading, appending it once', () => {
    const simulation = startSimulation(3);
    simulation.log.losesConfirmations = true;
    simulation.publish(firstNode(simulation), 'one', 'customer');
    expect(simulation.runUntil(() => simulation.settlements.has('one'))).toBe(
      true,
    );
    expect(simulation.settlements.get('one')?.kind).toBe('outcome');
    expect(simulation.log.streams.configuration.records).toHaveLength(1);
  });

  it('reports an unknown outcome when an append is lost without a response', () => {
    const simulation = startSimulation(3);
    simulation.log.losesAppends = true;
    simulation.publish(firstNode(simulation), 'one', 'customer');
    expect(simulation.runUntil(() => simulation.settlements.has('one'))).toBe(
      true,
    );
    expect(simulation.settlements.get('one')).toEqual({
      kind: 'failure',
      failure: {kind: 'log-unavailable', outcome: 'unknown', changeId: 'one'},
    });
  });

  it('reports not-published while the log is unavailable and never appends the change', () => {
    const simulation = startSimulation(3);
    simulation.log.isUnavailable = true;
    simulation.publish(firstNode(simulation), 'one', 'customer');
    expect(simulation.runUntil(() => simulation.settlements.has('one'))).toBe(
      true,
    );
    expect(simulation.settlements.get('one')).toEqual({
      kind: 'failure',
      failure: {
        kind: 'log-unavailable',
        outcome: 'not-published',
        changeId: 'one',
      },
    });
    simulation.log.isUnavailable = false;
    simulation.run(30_000);
    expect(simulation.log.streams.configuration.records).toHaveLength(0);
  });
});

describe('a restarted node', () => {
  it('loads its state from peers while the log is unavailable', () => {
    const simulation = startSimulation(5);
    publishMany(simulation, 0, 3);
    simulation.log.isUnavailable = true;
    const node = simulation.start('box-4', 'data-centre-0');
    expect(simulation.runUntil(() => node.stateMachine.isReady)).toBe(true);
    expect(node.stateMachine.replica.version).toBe(3);
    expect(simulation.digests().size).toBe(1);
  });

  it('does not become ready while log and peers are unavailable', () => {
    const simulation = startSimulation(3);
    publishMany(simulation, 0, 2);
    simulation.log.isUnavailable = true;
    simulation.canReach = () => false;
    const node = simulation.start('box-2', 'data-centre-0');
    simulation.run(60_000);
    expect(node.stateMachine.isReady).toBe(false);
  });

  it('loads the newest state among its peers, not that of a lagging one', () => {
    const simulation = startSimulation(4);
    const lagging = 'box-3';
    simulation.run(3000);
    simulation.canReach = (from, to) => from !== lagging && to !== lagging;
    const isLagging = (box: string): boolean => box === lagging;
    publishMany(simulation, 0, 2);
    expect(
      simulation.nodes
        .filter(({box}) => !isLagging(box))
        .every(({stateMachine}) => stateMachine.replica.version === 2),
    ).toBe(true);
    simulation.log.isUnavailable = true;
    simulation.canReach = () => true;
    const node = simulation.start('box-2', 'data-centre-0');
    expect(simulation.runUntil(() => node.stateMachine.isReady)).toBe(true);
    expect(node.stateMachine.replica.version).toBe(2);
  });

  it('starts from a snapshot when the log has forgotten the first records', () => {
    const simulation = startSimulation(4);
    for (let i = 0; i < 9; i += 1) {
      publishMany(simulation, i, i + 1);
      simulation.retain('configuration', 4);
      simulation.run(90_000);
    }
    simulation.nodes.forEach((node) => simulation.stop(node));
    for (const {box, dataCentre} of [...simulation.nodes]) {
      simulation.start(box, dataCentre);
    }
    expect(simulation.runUntil(() => simulation.isEverywhere(9))).toBe(true);
    expect(simulation.digests().size).toBe(1);
  });

  it('skips incomplete and corrupt snapshots', () => {
    const simulation = startSimulation(3);
    publishMany(simulation, 0, 7);
    const {snapshots} = simulation.log.streams;
    expect(
      simulation.runUntil(() => snapshots.records.length > 0, 120_000),
    ).toBe(true);
    const complete = snapshots.records.at(-1) as Record<string, unknown>;
    snapshots.records.push({
      ...complete,
      writer: 'half',
      version: 90,
      count: 2,
    });
    snapshots.records.push({
      ...complete,
      writer: 'corrupt',
      version: 91,
      data: 'AAAA',
    });
    simulation.nodes.forEach((node) => simulation.stop(node));
    for (const {box, dataCentre} of [...simulation.nodes]) {
      simulation.start(box, dataCentre);
    }
    expect(simulation.runUntil(() => simulation.isEverywhere(7))).toBe(true);
    expect(simulation.digests().size).toBe(1);
  });
});

describe('snapshots', () => {
  it('are written by one node when due, not by every node', () => {
    const simulation = startSimulation(10);
    publishMany(simulation, 0, 6);
    simulation.run(120_000);
    const writers = new Set(
      simulation.log.streams.snapshots.records.map(
        (record) => (record as {readonly writer: string}).writer,
      ),
    );
    expect(writers.size).toBe(1);
  });

  it('are written by another node when the first writer has stopped', () => {
    const simulation = startSimulation(5);
    const hasBegunSnapshot = (node: SimulatedNode): boolean =>
      node.timeline.some((line) => line.startsWith('snapshot-begun'));
    simulation.log.losesAppends = false;
    publishMany(simulation, 0, 5);
    expect(
      simulation.runUntil(
        () => simulation.nodes.some(hasBegunSnapshot),
        120_000,
      ),
    ).toBe(true);
    const writer = simulation.nodes.find(hasBegunSnapshot) as SimulatedNode;
    simulation.stop(writer);
    simulation.log.streams.snapshots.records.length = 0;
    simulation.run(60_000);
    const other = simulation.nodes.find(({isUp}) => isUp) as SimulatedNode;
    for (let i = 0; i < 6; i += 1) {
      simulation.publish(other, `more-${i}`, `more-${i}`);
      simulation.run(2000);
    }
    expect(
      simulation.runUntil(
        () => simulation.log.streams.snapshots.records.length > 0,
        180_000,
      ),
    ).toBe(true);
  });
});
