// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Control brains on a virtual clock, with a small fake log between them. */

import {makeIncarnation} from '@lockpin/once';
import {seededRandom} from '@lockpin/utils';
import type {ChangeRecord} from '@lockpin/types';
import {ControlBrain} from '../../control/controlBrain.js';
import type {ControlSettings} from '../../control/controlBrain.js';
import type {
  AppendResult,
  ChangeSettlement,
  ControlAction,
  ControlEvent,
  LogReadResult,
  StreamName,
} from '../../control/controlMessages.js';

/** Records of a stream, with when each came. */
export interface FakeStream {
  first: number;
  readonly records: unknown[];
  readonly times: number[];
}

/** How the fake log behaves. */
export interface FakeLog {
  isAway: boolean;
  /** Appends take effect, and their answer is lost. */
  losesConfirmations: boolean;
  /** Appends are cut before they take effect, and look the same. */
  losesAppends: boolean;
  /** Milliseconds that each answer takes besides. */
  slowMilliseconds: number;
  /** Rises with each restore. */
  era: number;
  readonly streams: Record<StreamName, FakeStream>;
}

/** One node of the world. */
export interface WorldNode {
  readonly box: string;
  readonly dataCentre: string;
  brain: ControlBrain;
  isUp: boolean;
  readonly timeline: string[];
}

interface Timed {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

const TICK = 100;
const DELAY = 2;

/** Runs brains and carries out what they decide. */
export class ControlWorld {
  now = 1_000_000;
  readonly nodes: WorldNode[] = [];
  readonly settlements = new Map<string, ChangeSettlement>();
  readonly log: FakeLog = {
    isAway: false,
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
  /** Whether what one box sends reaches another. */
  reaches: (from: string, to: string) => boolean = () => true;
  /** Whether a box can read the log and append to it. */
  usesLog: (box: string) => boolean = () => true;
  private readonly random;
  private queue: Timed[] = [];
  private order = 0;

  constructor(
    seed: number,
    private readonly settings?: ControlSettings,
  ) {
    this.random = seededRandom(seed);
  }

  /** Starts a node, or starts it anew with empty memory. */
  start(box: string, dataCentre: string): WorldNode {
    const known = this.nodes.find((node) => node.box === box);
    const node = known ?? {
      box,
      dataCentre,
      brain: this.makeBrain(box, dataCentre),
      isUp: true,
      timeline: [],
    };
    if (known === undefined) {
      this.nodes.push(node);
    }
    node.brain = this.makeBrain(box, dataCentre);
    node.isUp = true;
    const {brain} = node;
    this.tickAgain(node, brain);
    const boxes = this.nodes.map((other) => ({
      box: other.box,
      dataCentre: other.dataCentre,
      state: 'live' as const,
      peerAddress: other.box,
    }));
    this.nodes.forEach((other) =>
      this.tell(other, {kind: 'boxes-listed', boxes}),
    );
    return node;
  }

  stop(node: WorldNode): void {
    node.isUp = false;
  }

  publish(node: WorldNode, changeId: string, name: string, basedOn = 0): void {
    const change: ChangeRecord = {
      kind: 'change',
      changeId,
      author: 'test',
      writes: [{operation: 'put', kind: 'Customer', name, basedOn, spec: {}}],
    };
    this.tell(node, {kind: 'change-offered', change});
  }

  /** Lets time pass. */
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

  /** Lets time pass until the condition holds; false when it never does. */
  runUntil(condition: () => boolean, most = 60_000): boolean {
    const end = this.now + most;
    while (!condition() && this.now < end) {
      this.run(TICK);
    }
    return condition();
  }

  isEverywhere(version: number): boolean {
    return this.nodes
      .filter(({isUp}) => isUp)
      .every(({brain}) => brain.isReady && brain.keeper.version >= version);
  }

  digests(): ReadonlySet<string> {
    const up = this.nodes.filter(({isUp}) => isUp);
    return new Set(
      up.map(
        ({brain}) => `${brain.keeper.version} ${brain.keeper.state.digest}`,
      ),
    );
  }

  private makeBrain(box: string, dataCentre: string): ControlBrain {
    return new ControlBrain(
      {
        box,
        dataCentre,
        peerAddress: box,
        callerAddress: '',
        operatorAddress: '',
        incarnation: makeIncarnation(this.now, this.random),
      },
      this.settings,
    );
  }

  private at(delay: number, run: () => void): void {
    this.order += 1;
    this.queue.push({at: this.now + delay, order: this.order, run});
  }

  private tickAgain(node: WorldNode, brain: ControlBrain): void {
    if (node.brain !== brain || !node.isUp) {
      return;
    }
    this.tell(node, {kind: 'tick'});
    this.at(TICK, () => this.tickAgain(node, brain));
  }

  private tell(node: WorldNode, event: ControlEvent): void {
    if (!node.isUp) {
      return;
    }
    const actions = node.brain.handle(this.now, this.random, event);
    actions.forEach((action) => this.perform(node, action));
  }

  private perform(node: WorldNode, action: ControlAction): void {
    const {brain} = node;
    const tellLater = (event: ControlEvent, delay = DELAY): void =>
      this.at(delay, () => {
        if (node.brain === brain) {
          this.tell(node, event);
        }
      });
    switch (action.kind) {
      case 'send':
        this.deliver(node.box, action.address, (to) =>
          this.tell(to, {kind: 'datagram-received', datagram: action.datagram}),
        );
        break;
      case 'read-log': {
        const {stream, from} = action;
        const result = this.read(node.box, stream, from);
        const isEmpty =
          result.kind === 'records' && result.records.length === 0;
        const delay = isEmpty ? Math.min(500, action.waitMilliseconds) : 0;
        const slow = this.log.slowMilliseconds;
        tellLater({kind: 'log-read', stream, result}, delay + DELAY + slow);
        break;
      }
      case 'append': {
        const result = this.append(node.box, action.stream, action.value);
        const {token} = action;
        const slow = this.log.slowMilliseconds;
        tellLater({kind: 'append-ended', token, result}, DELAY + slow);
        break;
      }
      case 'exchange':
        this.exchange(node, action, tellLater);
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
    act: (to: WorldNode) => void,
  ): void {
    const target = this.nodes.find(({box}) => box === to);
    if (target?.isUp && this.reaches(from, to)) {
      this.at(DELAY, () => act(target));
    }
  }

  private exchange(
    node: WorldNode,
    {token, address, request}: ControlAction & {readonly kind: 'exchange'},
    tellLater: (event: ControlEvent, delay?: number) => void,
  ): void {
    const target = this.nodes.find(({box}) => box === address);
    const isOpen =
      target?.isUp &&
      this.reaches(node.box, address) &&
      this.reaches(address, node.box);
    if (!target || !isOpen) {
      tellLater({kind: 'exchange-ended', token, reply: undefined}, 500);
      return;
    }
    const [reply] = target.brain.handle(this.now, this.random, {
      kind: 'exchange-received',
      token,
      request,
    });
    if (reply?.kind === 'reply') {
      tellLater({kind: 'exchange-ended', token, reply: reply.reply});
    }
  }

  private read(box: string, stream: StreamName, from: number): LogReadResult {
    const {first, records} = this.log.streams[stream];
    if (this.log.isAway || !this.usesLog(box)) {
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

  private append(
    box: string,
    stream: StreamName,
    value: unknown,
  ): AppendResult {
    const {log} = this;
    if (log.isAway || !this.usesLog(box)) {
      return {kind: 'not-appended'};
    }
    if (log.losesAppends) {
      return {kind: 'unknown'};
    }
    const {first, records} = log.streams[stream];
    this.appendPastNodes(stream, value);
    return log.losesConfirmations
      ? {kind: 'unknown'}
      : {
          kind: 'confirmed',
          era: log.era,
          offset: first + records.length - 1,
        };
  }

  /** The log comes back as it was at a time; all of its streams do. */
  restoreLogTo(until: number): void {
    this.log.era += 1;
    for (const {records, times} of Object.values(this.log.streams)) {
      const kept = times.filter((at) => at <= until).length;
      records.splice(kept);
      times.splice(kept);
    }
  }

  /** Another writer appends, past all nodes. */
  appendPastNodes(stream: StreamName, value: unknown): void {
    const {records, times} = this.log.streams[stream];
    records.push(structuredClone(value));
    times.push(this.now);
  }

  /** The log forgets all but the newest records of a stream. */
  retain(stream: StreamName, most: number): void {
    const kept = this.log.streams[stream];
    const excess = Math.max(0, kept.records.length - most);
    kept.records.splice(0, excess);
    kept.times.splice(0, excess);
    kept.first += excess;
  }
}
