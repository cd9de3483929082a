// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Tests of the failure detector on a virtual clock. */

import {describe, expect, it} from 'vitest';
import {seededRandom} from '@lockpin/utils';
import type {Datagram} from '../datagrams.js';
import {isLogReader} from '../logReaders.js';
import {supersedes} from '../member.js';
import type {Member, MemberIdentity} from '../member.js';
import {Membership} from '../membership.js';
import type {MembershipAction} from '../membership.js';

const CONTEXT = {
  version: 0,
  digest: '',
  era: 0,
  holders: {era: 0, offset: 0},
  time: {milliseconds: 0, counter: 0},
};

function identity(i: number, incarnation = 'a'): MemberIdentity {
  return {
    box: `box-${i}`,
    dataCentre: `data-centre-${i % 2}`,
    peerAddress: `box-${i}`,
    callerAddress: '',
    operatorAddress: '',
    incarnation,
  };
}

/** Simulated nodes; datagrams arrive immediately unless `canReach` is false. */
class Cluster {
  now = 0;
  canReach: (from: string, to: string) => boolean = () => true;
  readonly nodes = new Map<string, Membership>();
  private readonly random = seededRandom(1);

  constructor(count: number) {
    for (let i = 0; i < count; i += 1) {
      this.nodes.set(`box-${i}`, new Membership(identity(i)));
    }
    const all = [...this.nodes.values()].map(({own}) => own);
    this.nodes.forEach((node) => node.mergeMembers(0, all));
  }

  run(milliseconds: number): void {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.now += 100;
      for (const [box, node] of this.nodes) {
        this.perform(box, node.tick(this.now, this.random, CONTEXT));
      }
    }
  }

  state(observer: string, box: string): string | undefined {
    return this.nodes.get(observer)?.get(box)?.state;
  }

  private perform(from: string, actions: readonly MembershipAction[]): void {
    for (const action of actions) {
      if (action.kind === 'send' && this.canReach(from, action.address)) {
        this.deliver(action.address, action.datagram);
      }
    }
  }

  private deliver(to: string, datagram: Datagram): void {
    const node = this.nodes.get(to);
    if (node !== undefined) {
      this.perform(to, node.receive(this.now, datagram, CONTEXT));
    }
  }
}

describe('Membership', () => {
  it('detects a failed node on every other node', () => {
    const cluster = new Cluster(8);
    cluster.run(5000);
    cluster.nodes.delete('box-3');
    cluster.run(40_000);
    for (const box of cluster.nodes.keys()) {
      expect(cluster.state(box, 'box-3')).toBe('dead');
    }
  });

  it('keeps a node that a single other node cannot reach', () => {
    const cluster = new Cluster(8);
    cluster.run(5000);
    cluster.canReach = (from, to) => !(from === 'box-0' && to === 'box-1');
    cluster.run(120_000);
    for (const box of cluster.nodes.keys()) {
      expect(cluster.state(box, 'box-1')).not.toBe('dead');
    }
  });

  it('keeps a node whose datagrams reach only some nodes', () => {
    const cluster = new Cluster(8);
    cluster.run(5000);
    const reachable = new Set(['box-2', 'box-3', 'box-4', 'box-5']);
    cluster.canReach = (from, to) => from !== 'box-1' || reachable.has(to);
    cluster.run(120_000);
    expect(cluster.state('box-2', 'box-1')).not.toBe('dead');
  });

  it('joins the two sides of a cut again once it heals', () => {
    const cluster = new Cluster(8);
    cluster.run(5000);
    const side = (box: string): number => Number(box.slice(4)) % 2;
    cluster.canReach = (from, to) => side(from) === side(to);
    cluster.run(120_000);
    expect(cluster.state('box-0', 'box-1')).toBe('dead');
    cluster.canReach = () => true;
    cluster.run(120_000);
    for (const observer of cluster.nodes.keys()) {
      for (const box of cluster.nodes.keys()) {
        expect(cluster.state(observer, box)).toBe('alive');
      }
    }
  });

  it('prefers a restarted process to updates of its predecessor', () => {
    const predecessor: Member = {
      ...identity(1, 'a'),
      state: 'dead',
      refutation: 9,
      isWatching: false,
    };
    const restarted: Member = {
      ...predecessor,
      incarnation: 'b',
      state: 'alive',
      refutation: 0,
    };
    expect(supersedes(restarted, predecessor)).toBe(true);
    expect(supersedes(predecessor, restarted)).toBe(false);
  });
});

describe('isLogReader', () => {
  it('selects three nodes of each data centre', () => {
    const members = Array.from({length: 20}, (_, i): Member => ({
      ...identity(i),
      state: 'alive',
      refutation: 0,
      isWatching: false,
    }));
    const readers = members.filter((member) => isLogReader(member, members));
    const of = (dataCentre: string): number =>
      readers.filter((reader) => reader.dataCentre === dataCentre).length;
    expect(of('data-centre-0')).toBe(3);
    expect(of('data-centre-1')).toBe(3);
  });
});
