// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Simulates control planes of nodes on a virtual clock with a fake log. */

import {createIncarnation} from '@lockpin/once';
import {seededRandom} from '@lockpin/utils';
import type {ChangeRecord} from '@lockpin/types';
import {ControlStateMachine} from '../../control/controlStateMachine.js';
import type {ControlSettings} from '../../control/controlStateMachine.js';
import type {
  AppendResult,
  ChangeSettlement,
  ControlAction,
  ControlEvent,
  LogReadResult,
  StreamName,
} from '../../control/controlMessages.js';

/** Records of a stream and the time at which each was appended. */
export interface FakeStream {
  first: number;
  readonly records: unknown[];
  readonly times: number[];
}

/** State and faults of the fake log. */
export interface FakeLog {
  isUnavailable: boolean;
  /** Appends take effect, but their responses are lost. */
  losesConfirmations: boolean;
  /** Appends are lost before they take effect; callers see no difference. */
  losesAppends: boolean;
  /** Additional delay of each response. */
  slowMilliseconds: number;
  /** Incremented with each restore. */
  era: number;
  readonly streams: Record<StreamName, FakeStream>;
}

/** One simulated node. */
export interface SimulatedNode {
  readonly box: string;
  readonly dataCentre: string;
  stateMachine: ControlStateMachine;
  isUp: boolean;
  readonly timeline: string[];
}

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

const TICK_MILLISECONDS = 100;
const DELAY_MILLISECONDS = 2;

/** Runs the nodes and performs their actions. */
export class ControlSimulation {
  now = 1_000_000;
  readonly nodes: SimulatedNode[] = [];
  readonly settlements = new Map<string, ChangeSettlement>();
  readonly log: FakeLog = {
    isUnavailable: false,
    losesConfirmations: false,
    losesAppends: false,
    slowMilliseconds: 0,
    era: 1,
    streams: {
      configuration: {first: 0, records: [], times: []},
      holders: {first: 0, records: [], times: []},
      snapshots: {first: 0, records: [], times: []},
    },
  };
  /** Whether messages of one box reach another. */
  canReach: (from: string, to: string) => boolean = () => true;
  /** Whether a box can read the log and append to it. */
  canUseLog: (box: string) => boolean = () => true;
  private readonly random;
  private queue: ScheduledEvent[] = [];
  private order = 0;

  constructor(
    seed: number,
    private readonly settings?: ControlSettings,
  ) {
    this.random = seededRandom(seed);
  }

  /** Starts a node, or restarts it with empty memory. */
  start(box: string, dataCentre: string): SimulatedNode {
    const existing = this.nodes.find((node) => node.box === box);
    const node = existing ?? {
      box,
      dataCentre,
      stateMachine: this.createStateMachine(box, dataCentre),
      isUp: true,
      timeline: [],
    };
    if (existing === undefined) {
      this.nodes.push(node);
    }
    node.stateMachine = this.createStateMachine(box, dataCentre);
    node.isUp = true;
    const {stateMachine} = node;
    this.tickPeriodically(node, stateMachine);
    const boxes = this.nodes.map((other) => ({
      box: other.box,
      dataCentre: other.dataCentre,
      state: 'live' as const,
      peerAddress: other.box,
    }));
    this.nodes.forEach((other) =>
      this.handleEvent(other, {kind: 'boxes-listed', boxes}),
    );
    return node;
  }

  stop(node: SimulatedNode): void {
    node.isUp = false;
  }

  publish(
    node: SimulatedNode,
    changeId: string,
    name: string,
    basedOn = 0,
  ): void {
    const change: ChangeRecord = {
      kind: 'change',
      changeId,
      author: 'test',
      writes: [{operation: 'put', kind: 'Customer', name, basedOn, spec: {}}],
    };
    this.handleEvent(node, {kind: 'change-submitted', change});
  }

  /** Advances the clock. */
  run(milliseconds: number): void {
    const end = this.now + milliseconds;
    for (;;) {
      this.queue.sort((a, b) => a.at - b.at || a.order - b.order);
      const next = this.queue[0];
      if (next === undefined || next.at > end) {
        break;
      }
      this.queue.shift();
      this.now = next.at;
      next.run();
    }
    this.now = end;
  }

  /** Advances the clock until a condition holds; returns false on a timeout. */
  runUntil(condition: () => boolean, maximumMilliseconds = 60_000): boolean {
    const end = this.now + maximumMilliseconds;
    while (!condition() && this.now < end) {
      this.run(TICK_MILLISECONDS);
    }
    return condition();
  }

  isEverywhere(version: number): boolean {
    return this.nodes
      .filter(({isUp}) => isUp)
      .every(
        ({stateMachine}) =>
          stateMachine.isReady && stateMachine.replica.version >= version,
      );
  }

  digests(): ReadonlySet<string> {
    const up = this.nodes.filter(({isUp}) => isUp);
    return new Set(
      up.map(
        ({stateMachine}) =>
          `${stateMachine.replica.version} ${stateMachine.replica.state.digest}`,
      ),
    );
  }

  private createStateMachine(
    box: string,
    dataCentre: string,
  ): ControlStateMachine {
    return new ControlStateMachine(
      {
        box,
        dataCentre,
        peerAddress: box,
        callerAddress: '',
        operatorAddress: '',
        incarnation: createIncarnation(this.now, this.random),
      },
      this.settings,
    );
  }

  private schedule(delay: number, run: () => void): void {
    this.order += 1;
    this.queue.push({at: this.now + delay, order: this.order, run});
  }

  private tickPeriodically(
    node: SimulatedNode,
    stateMachine: ControlStateMachine,
  ): void {
    if (node.stateMachine !== stateMachine || !node.isUp) {
      return;
    }
    this.handleEvent(node, {kind: 'tick'});
    this.schedule(TICK_MILLISECONDS, () =>
      this.tickPeriodically(node, stateMachine),
    );
  }

  private handleEvent(node: SimulatedNode, event: ControlEvent): void {
    if (!node.isUp) {
      return;
    }
    const actions = node.stateMachine.handle(this.now, this.random, event);
    actions.forEach((action) => this.performAction(node, action));
  }

  private performAction(node: SimulatedNode, action: ControlAction): void {
    const {stateMachine} = node;
    const scheduleEvent = (
      event: ControlEvent,
      delay = DELAY_MILLISECONDS,
    ): void =>
      this.schedule(delay, () => {
        if (node.stateMachine === stateMachine) {
          this.handleEvent(node, event);
        }
      });
    switch (action.kind) {
      case 'send':
        this.deliver(node.box, action.address, (to) =>
          this.handleEvent(to, {
            kind: 'datagram-received',
            datagram: action.datagram,
          }),
        );
        break;
      case 'read-log': {
        const {stream, from} = action;
        const result = this.readLog(node.box, stream, from);
        const isEmpty =
          result.kind === 'records' && result.records.length === 0;
        const delay = isEmpty ? Math.min(500, action.waitMilliseconds) : 0;
        const extraDelay = this.log.slowMilliseconds;
        scheduleEvent(
          {kind: 'log-read', stream, result},
          delay + DELAY_MILLISECONDS + extraDelay,
        );
        break;
      }
      case 'append': {
        const result = this.appendToLog(node.box, action.stream, action.value);
        const {token} = action;
        const extraDelay = this.log.slowMilliseconds;
        scheduleEvent(
          {kind: 'append-ended', token, result},
          DELAY_MILLISECONDS + extraDelay,
        );
        break;
      }
      case 'exchange':
        this.exchange(node, action, scheduleEvent);
        break;
      case 'change-settled':
        this.settlements.set(action.changeId, action.settlement);
        break;
      case 'timeline':
        node.timeline.push(`${action.event} ${action.subject}`);
        break;
    }
  }

  private deliver(
    from: string,
    to: string,
    handle: (to: SimulatedNode) => void,
  ): void {
    const target = this.nodes.find(({box}) => box === to);
    if (target?.isUp && this.canReach(from, to)) {
      this.schedule(DELAY_MILLISECONDS, () => handle(target));
    }
  }

  private exchange(
    node: SimulatedNode,
    {token, address, request}: ControlAction & {readonly kind: 'exchange'},
    scheduleEvent: (event: ControlEvent, delay?: number) => void,
  ): void {
    const target = this.nodes.find(({box}) => box === address);
    const isOpen =
      target?.isUp &&
      this.canReach(node.box, address) &&
      this.canReach(address, node.box);
    if (!target || !isOpen) {
      scheduleEvent({kind: 'exchange-ended', token, reply: undefined}, 500);
      return;
    }
    const [reply] = target.stateMachine.handle(this.now, this.random, {
      kind: 'exchange-received',
      token,
      request,
    });
    if (reply?.kind === 'reply') {
      scheduleEvent({kind: 'exchange-ended', token, reply: reply.reply});
    }
  }

  private readLog(
    box: string,
    stream: StreamName,
    from: number,
  ): LogReadResult {
    const {first, records} = this.log.streams[stream];
    if (this.log.isUnavailable || !this.canUseLog(box)) {
      return {kind: 'unreachable'};
    }
    const {era} = this.log;
    const next = first + records.length;
    if (from < first) {
      return {kind: 'expired', era, first, next};
    }
    return {
      kind: 'records',
      era,
      first,
      next,
      records: records
        .slice(from - first, from - first + 100)
        .map((value, i) => ({offset: from + i, value})),
    };
  }

  private appendToLog(
    box: string,
    stream: StreamName,
    value: unknown,
  ): AppendResult {
    const {log} = this;
    if (log.isUnavailable || !this.canUseLog(box)) {
      return {kind: 'not-appended'};
    }
    if (log.losesAppends) {
      return {kind: 'unknown'};
    }
    const {first, records} = log.streams[stream];
    this.appendExternally(stream, value);
    return log.losesConfirmations
      ? {kind: 'unknown'}
      : {
          kind: 'confirmed',
          era: log.era,
          offset: first + records.length - 1,
        };
  }

  /** Restores all streams of the log to their state at a given time. */
  restoreLogTo(until: number): void {
    this.log.era += 1;
    for (const {records, times} of Object.values(this.log.streams)) {
      const kept = times.filter((at) => at <= until).length;
      records.splice(kept);
      times.splice(kept);
    }
  }

  /** Appends a record as another writer would, without any node. */
  appendExternally(stream: StreamName, value: unknown): void {
    const {records, times} = this.log.streams[stream];
    records.push(structuredClone(value));
    times.push(this.now);
  }

  /** Removes all but the newest records of a stream. */
  retain(stream: StreamName, maximumRecords: number): void {
    const target = this.log.streams[stream];
    const excess = Math.max(0, target.records.length - maximumRecords);
    target.records.splice(0, excess);
    target.times.splice(0, excess);
    target.first += excess;
  }
}
