// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Simulates the state machines, the network and the store of a fleet. */

import {seededRandom, success} from '@lockpin/utils';
import type {RandomSource} from '@lockpin/types';
import type {BoxRecord} from '../../boxRecord.js';
import {FleetStateMachine} from '../../fleetStateMachine.js';
import type {
  FleetAction,
  FleetEvent,
  FleetUpdate,
} from '../../fleetMessages.js';
import type {FollowedPeers} from '../../nodeIdentity.js';
import type {StreamRead} from '../../streamFollower.js';
import {SimulatedNetwork} from './simulatedNetwork.js';
import type {Direction} from './simulatedNetwork.js';
import {configuration, hostOf} from './simulatedNode.js';
import type {SimulatedNode as Node} from './simulatedNode.js';
import {SimulatedStore} from './simulatedStore.js';
import type {StoreCaller} from './simulatedStore.js';
import {VirtualSchedule} from './virtualSchedule.js';
import type {RecordStream, StoredRecord} from '../../recordStore.js';

/** Time between two ticks of a node. */
const TICK_MILLISECONDS = 200;

/** One-way latency between two nodes. */
const LATENCY_MILLISECONDS = 2;

/** A started node runs after this time. */
const START_MILLISECONDS = 400;

/** Upstreams announce themselves within this time after their node runs. */
const ANNOUNCE_MILLISECONDS = 1500;

/** A query to a peer times out after this time. */
const QUERY_TIMEOUT_MILLISECONDS = 2500;

/** Start of the virtual clock; time spans do not reach back to 0. */
const EPOCH = 1_000_000;

/** Size of a simulated fleet, and the seed of its random numbers. */
export interface FleetSize {
  readonly boxes: number;
  readonly dataCentres: number;
  readonly seed: number;
  /** Clocks of the boxes differ by up to this much; not at all if omitted. */
  readonly clockSpreadMilliseconds?: number;
}

/** Runs a fleet and its store on a virtual clock. */
export class FleetSimulation {
  /** Whether each node's entry has a stream to each guard, or to none. */
  areEntriesConnected = false;
  /** Called for each update that one box sends to another. */
  onUpdate: (from: string, to: string, update: FleetUpdate) => void = () =>
    undefined;
  private readonly clock = new VirtualSchedule(EPOCH);
  private readonly network = new SimulatedNetwork();
  private readonly random: RandomSource;
  private readonly nodes = new Map<string, Node>();
  private readonly store = new SimulatedStore({
    now: () => this.now,
    schedule: (milliseconds, run) => this.schedule(milliseconds, run),
  });
  /** Versions that any node had in force after a higher one was confirmed. */
  readonly olderInForce: number[] = [];
  private confirmedVersion = 1;

  constructor(private readonly size: FleetSize) {
    this.random = seededRandom(size.seed);
    this.store.append('configuration', {
      key: 'config',
      value: Buffer.from('1'),
    });
    for (let i = 0; i < size.boxes; i += 1) {
      this.start(this.createNode(true), this.random() * 300);
    }
  }

  boxNames(): readonly string[] {
    return [...this.nodes.keys()];
  }

  alive(): readonly string[] {
    return this.boxNames().filter((box) => this.node(box).isUp);
  }

  /** The boxes whose processes run and are not frozen. */
  running(): readonly string[] {
    return this.alive().filter((box) => this.node(box).frozenUntil <= this.now);
  }

  run(milliseconds: number): void {
    this.clock.run(milliseconds);
  }

  /** Milliseconds until a condition holds; infinite if that takes over 30 s. */
  runUntil(condition: () => boolean): number {
    const startTime = this.now;
    while (this.now - startTime < 30_000) {
      if (condition()) {
        return this.now - startTime;
      }
      this.run(10);
    }
    return Number.POSITIVE_INFINITY;
  }

  publish(version: number): void {
    this.confirmedVersion = Math.max(this.confirmedVersion, version);
    this.store.append('configuration', {
      key: 'config',
      value: Buffer.from(String(version)),
    });
  }

  /** The version in force at all these boxes; undefined if they differ. */
  commonVersion(boxes: readonly string[] = this.alive()): number | undefined {
    const versions = new Set(boxes.map((box) => this.versionAt(box)));
    return versions.size === 1 ? [...versions][0] : undefined;
  }

  /** Whether each running node knows all boxes; its own may be missing. */
  isEveryBoxKnown(boxes: number): boolean {
    return this.alive().every((own) => {
      const known = this.node(own).stateMachine.directory.all();
      return known.filter(({box}) => box !== own).length === boxes - 1;
    });
  }

  /** Store calls of the node at this rank, counted from the fewest calls. */
  storeCallsAtRank(rank: number): number {
    const calls = [...this.nodes.values()].map((node) => node.calls);
    calls.sort((a, b) => a - b);
    return calls[rank - 1] ?? 0;
  }

  isReader(box: string): boolean {
    const node = this.node(box);
    const time = this.now + node.clockOffset;
    return node.isUp && node.stateMachine.readerRole.isReadingStore(time);
  }

  readers(): readonly string[] {
    return this.boxNames().filter((box) => this.isReader(box));
  }

  readersOf(dataCentre: string): readonly string[] {
    return this.readers().filter(
      (box) => this.node(box).dataCentre === dataCentre,
    );
  }

  isUp(box: string): boolean {
    return this.node(box).isUp;
  }

  addBox(): void {
    this.start(this.createNode(false), 0);
  }

  kill(box: string): void {
    const node = this.node(box);
    node.isUp = false;
    node.processNumber += 1;
    node.followers.clear();
    this.nodes.forEach((other) => other.followers.delete(box));
  }

  restart(box: string): void {
    const node = this.node(box);
    node.stateMachine = this.createStateMachine(node, false);
    this.start(node, this.random() * 300);
  }

  leave(box: string): void {
    this.handleEvent(this.node(box), {kind: 'leaving'});
  }

  drain(box: string): void {
    const node = this.node(box);
    node.takesWork = false;
    this.announce(node);
  }

  /** The upstream of a box crashes while it runs a request. */
  crash(box: string, digest: string): void {
    this.handleEvent(this.node(box), {kind: 'runs-crashed', digests: [digest]});
  }

  /** An operator lifts a quarantine at a box. */
  lift(box: string, digest: string): void {
    this.handleEvent(this.node(box), {kind: 'quarantine-lifted', digest});
  }

  /** The upstream of a box runs another program version from now on. */
  upgrade(box: string, program: string): void {
    const node = this.node(box);
    node.program = program;
    this.announce(node);
  }

  /** Whether no running node quarantines a request. */
  isQuarantinedNowhere(digest: string): boolean {
    return this.alive().every(
      (box) =>
        this.node(box).stateMachine.suspects.remaining(this.now, digest) === 0,
    );
  }

  /** Whether every running node quarantines a request. */
  isQuarantinedEverywhere(digest: string): boolean {
    return this.alive().every(
      (box) =>
        this.node(box).stateMachine.suspects.remaining(this.now, digest) > 0,
    );
  }

  /** Drops all packets of a box in one direction from now on. */
  dropPackets(box: string, direction: Direction): void {
    this.network.dropPackets(box, direction);
  }

  /** Drops all packets between a box and all other boxes from now on. */
  isolate(box: string): void {
    this.dropPackets(box, 'incoming');
    this.dropPackets(box, 'outgoing');
  }

  /** Drops packets between a data centre and the others from now on. */
  cutOff(dataCentre: string, directions?: readonly Direction[]): void {
    this.network.cutOff(dataCentre, directions);
  }

  /** Stops a process; what arrives meanwhile is handled when it continues. */
  freeze(box: string, milliseconds: number): void {
    this.node(box).frozenUntil = this.now + milliseconds;
  }

  /** Open connections go silent without being closed; new ones work. */
  silenceConnections(share: number): void {
    this.store.losePendingCalls();
    this.network.silence([...this.nodes.values()], share, this.random);
  }

  /** Milliseconds from the start of the simulation. */
  get elapsed(): number {
    return this.now - EPOCH;
  }

  versionAt(box: string): number {
    return this.node(box).stateMachine.version;
  }

  dataCentreOf(box: string): string {
    return this.node(box).dataCentre;
  }

  refuseStoreCalls(box: string): void {
    this.node(box).isRefusedByStore = true;
  }

  /** Number of calls that nodes have made to the store. */
  get storeCalls(): number {
    return this.store.calls;
  }

  set isStoreDown(isDown: boolean) {
    this.store.isDown = isDown;
  }

  get isStoreDown(): boolean {
    return this.store.isDown;
  }

  /** Answers of the store take this much longer until it hangs. */
  delayStoreAnswers(milliseconds: number): void {
    this.store.answerDelay = milliseconds;
  }

  hangStore(): void {
    this.store.hang();
  }

  resumeStore(): void {
    this.store.resume();
  }

  restoreStore(lostMilliseconds: number): void {
    this.store.restore(lostMilliseconds);
  }

  storedCount(stream: RecordStream): number {
    return this.store.count(stream);
  }

  /** Ends all faults and restarts all stopped nodes. */
  heal(): void {
    this.store.isDown = false;
    this.store.resume();
    this.network.heal();
    this.nodes.forEach((node) => {
      node.isRefusedByStore = false;
      if (!node.isUp) {
        this.restart(node.box);
      }
    });
  }

  /** Whether all nodes of a data centre know that a box takes no work. */
  isDrainKnownIn(box: string, dataCentre: string): boolean {
    return [...this.nodes.values()]
      .filter((node) => node.dataCentre === dataCentre)
      .every(
        (node) => node.stateMachine.directory.get(box)?.takesWork === false,
      );
  }

  /** Whether the store has the latest record of every running box. */
  isEveryBoxStored(): boolean {
    return this.alive().every((box) => {
      const {takesWork} = this.node(box);
      return (
        this.isStored(box) && this.storedBoxRecord(box)?.takesWork === takesWork
      );
    });
  }

  isStored(box: string): boolean {
    return this.store.newestOf('boxes', box) !== undefined;
  }

  storedRecord(box: string): StoredRecord {
    return this.store.newestOf('boxes', box) as StoredRecord;
  }

  storedBoxRecord(box: string): BoxRecord | undefined {
    const {value} = this.storedRecord(box);
    return value && (JSON.parse(value.toString()) as BoxRecord);
  }

  applyLateWrite(record: StoredRecord): void {
    this.store.append('boxes', record);
  }

  private node(box: string): Node {
    return this.nodes.get(box) as Node;
  }

  private drawClockOffset(): number {
    const {clockSpreadMilliseconds = 0} = this.size;
    return clockSpreadMilliseconds > 0
      ? clockSpreadMilliseconds * this.random()
      : 0;
  }

  private createNode(isFirstStart: boolean): Node {
    const number = this.nodes.size + 1;
    const base: Omit<Node, 'stateMachine'> = {
      box: `box-${number}`,
      dataCentre: `d${1 + (number % this.size.dataCentres)}`,
      address: `${hostOf(number)}:7000`,
      processNumber: 0,
      isUp: false,
      isRefusedByStore: false,
      frozenUntil: 0,
      clockOffset: this.drawClockOffset(),
      peers: {near: [], far: undefined, silent: []},
      followers: new Set(),
      calls: 0,
      sequence: 0,
      takesWork: true,
      program: 'v1',
    };
    const node: Node = {
      ...base,
      stateMachine: this.createStateMachine(base, isFirstStart),
    };
    this.nodes.set(node.box, node);
    return node;
  }

  private createStateMachine(
    {box, dataCentre, address}: Omit<Node, 'stateMachine'>,
    isFirstStart: boolean,
  ): FleetStateMachine {
    return new FleetStateMachine(
      {box, dataCentre, peerAddress: address},
      ({value}) => success(configuration(Number(value?.toString()))),
      {isFirstStart},
    );
  }

  private start(node: Node, delay: number): void {
    const processNumber = node.processNumber;
    this.schedule(delay + START_MILLISECONDS, () => {
      if (node.processNumber !== processNumber) {
        return;
      }
      node.isUp = true;
      this.tick(node, processNumber);
      this.schedule(this.random() * ANNOUNCE_MILLISECONDS, () =>
        this.announce(node),
      );
    });
  }

  private tick(node: Node, processNumber: number): void {
    if (node.processNumber !== processNumber) {
      return;
    }
    this.openStreams(node);
    this.handleEvent(node, {kind: 'tick', followers: node.followers.size});
    this.schedule(TICK_MILLISECONDS, () => this.tick(node, processNumber));
  }

  private announce(node: Node): void {
    node.sequence += 1;
    this.handleEvent(node, {
      kind: 'upstream-announced',
      announcement: {
        incarnation: {id: `i-${node.box}`, startedAt: 0},
        service: 's',
        address: `${hostOf(Number(node.box.slice(4)))}:80`,
        slots: 4,
        state: node.takesWork ? 'ready' : 'draining',
        coldMilliseconds: 0,
        sequence: node.sequence,
        program: node.program,
      },
    });
  }

  /** Opens missing streams to followed nodes; repeated at each tick. */
  private openStreams(node: Node): void {
    for (const address of node.peers.near) {
      const peer = this.nodeAt(address);
      if (!peer?.isUp || peer.followers.has(node.box)) {
        continue;
      }
      this.send(node, peer, () => {
        peer.followers.add(node.box);
        this.handleEvent(peer, {kind: 'follower-added'});
      });
    }
  }

  private nodeAt(address: string): Node | undefined {
    return [...this.nodes.values()].find((node) => node.address === address);
  }

  /** Runs a task at the receiver, unless the packets are dropped. */
  private send(from: Node, to: Node, run: () => void): void {
    const processNumber = to.processNumber;
    this.schedule(LATENCY_MILLISECONDS, () => {
      if (
        this.network.isConnected(from, to) &&
        to.isUp &&
        to.processNumber === processNumber
      ) {
        run();
      }
    });
  }

  /** Replaces a silent connection. */
  private reconnect(node: Node, address: string): void {
    const peer = this.nodeAt(address);
    if (peer !== undefined) {
      this.network.reconnect(node, peer);
    }
  }

  private handleEvent(node: Node, event: FleetEvent): void {
    if (!node.isUp) {
      return;
    }
    if (this.now < node.frozenUntil) {
      const {processNumber} = node;
      this.schedule(node.frozenUntil - this.now, () => {
        if (node.processNumber === processNumber) {
          this.handleEvent(node, event);
        }
      });
      return;
    }
    for (const action of node.stateMachine.handle(
      this.now + node.clockOffset,
      this.random,
      event,
    )) {
      this.perform(node, action);
    }
  }

  private perform(node: Node, action: FleetAction): void {
    switch (action.kind) {
      case 'read-newest':
      case 'follow':
        this.read(node, action);
        break;
      case 'write':
        this.write(node, action.record);
        break;
      case 'write-on-behalf':
        this.store.append('boxes', action.record);
        break;
      case 'delete-record':
        this.store.append('boxes', {key: action.key, value: undefined});
        break;
      case 'query-peer':
        this.query(node, action);
        break;
      case 'follow-peers':
        this.follow(node, action.peers);
        break;
      case 'notify-followers':
        node.followers.forEach((box) => {
          this.sendUpdate(node, this.node(box), action.news);
        });
        break;
      case 'notify-entries':
        if (this.areEntriesConnected) {
          this.sendUpdateToAll(node, action.news);
        }
        break;
      case 'notify-nodes':
        action.addresses.forEach((address) => {
          const other = this.nodeAt(address);
          if (other !== undefined) {
            this.sendUpdate(node, other, action.news);
          }
        });
        break;
      case 'request-version':
        this.requestVersion(node, action.address, action.clock);
        break;
      case 'peer-unresponsive':
        this.reconnect(node, action.address);
        break;
      case 'configuration-changed':
        if (action.configuration.version < this.confirmedVersion) {
          this.olderInForce.push(action.configuration.version);
        }
        this.sendVersion(node);
        break;
    }
  }

  private requestVersion(node: Node, address: string, clock: number): void {
    const peer = this.nodeAt(address);
    if (peer !== undefined) {
      this.send(node, peer, () => {
        this.handleEvent(peer, {kind: 'version-requested', clock});
        this.sendVersionTo(peer, node);
      });
    }
  }

  private sendUpdate(from: Node, to: Node, update: FleetUpdate): void {
    this.onUpdate(from.box, to.box, update);
    this.send(from, to, () =>
      this.handleEvent(to, {kind: 'update-received', news: update}),
    );
  }

  private sendUpdateToAll(node: Node, update: FleetUpdate): void {
    for (const other of this.nodes.values()) {
      if (other !== node) {
        this.sendUpdate(node, other, update);
      }
    }
  }

  private follow(node: Node, peers: FollowedPeers): void {
    node.peers.near
      .filter((address) => !peers.near.includes(address))
      .forEach((address) => this.nodeAt(address)?.followers.delete(node.box));
    peers.silent.forEach((address) => this.reconnect(node, address));
    const isNewFar = node.peers.far !== peers.far;
    node.peers = peers;
    const far = peers.far === undefined ? undefined : this.nodeAt(peers.far);
    if (isNewFar && far !== undefined) {
      this.sendVersionTo(node, far);
      this.sendVersionTo(far, node);
    }
    this.openStreams(node);
  }

  /** Reports the version in force to all nodes connected by a stream. */
  private sendVersion(node: Node): void {
    const {near, far} = node.peers;
    const followed = far === undefined ? near : [...near, far];
    followed.forEach((address) => {
      const peer = this.nodeAt(address);
      if (peer !== undefined) {
        this.sendVersionTo(node, peer);
      }
    });
    this.nodes.forEach((other) => {
      if (node.followers.has(other.box) || other.peers.far === node.address) {
        this.sendVersionTo(node, other);
      }
    });
  }

  private sendVersionTo(from: Node, to: Node): void {
    const {version} = from.stateMachine;
    const {address} = from;
    this.send(from, to, () =>
      this.handleEvent(to, {kind: 'peer-version-reported', address, version}),
    );
  }

  private query(
    node: Node,
    {address, query: peerQuery}: FleetAction & {readonly kind: 'query-peer'},
  ): void {
    const peer = this.nodeAt(address);
    const processNumber = node.processNumber;
    let hasEnded = false;
    const finish = (
      peerReply?: ReturnType<FleetStateMachine['answer']>,
    ): void => {
      if (!hasEnded && node.processNumber === processNumber) {
        hasEnded = true;
        this.handleEvent(node, {
          kind: 'peer-replied',
          address,
          reply: peerReply,
        });
      }
    };
    this.schedule(QUERY_TIMEOUT_MILLISECONDS, () => {
      if (!hasEnded) {
        this.reconnect(node, address);
      }
      finish();
    });
    if (peer !== undefined) {
      this.send(node, peer, () => {
        const time = this.now + peer.clockOffset;
        const peerReply = peer.stateMachine.answer(time, peerQuery);
        this.send(peer, node, () => finish(peerReply));
      });
    }
  }

  private read(node: Node, action: StreamRead): void {
    const {processNumber} = node;
    const {stream, read} = action;
    node.calls += 1;
    this.store.read(this.callerOf(node), action, (result) => {
      if (node.processNumber === processNumber) {
        this.handleEvent(node, {kind: 'read-ended', stream, read, result});
      }
    });
  }

  private write(node: Node, record: StoredRecord): void {
    const {processNumber} = node;
    node.calls += 1;
    this.store.write(this.callerOf(node), record, (result) => {
      if (node.processNumber === processNumber) {
        this.handleEvent(node, {kind: 'write-ended', result});
      }
    });
  }

  private callerOf(node: Node): StoreCaller {
    return {isRefused: () => this.store.isDown || node.isRefusedByStore};
  }

  private schedule(milliseconds: number, run: () => void): void {
    this.clock.schedule(milliseconds, run);
  }

  private get now(): number {
    return this.clock.now;
  }
}
