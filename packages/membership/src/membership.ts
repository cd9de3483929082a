// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A failure detector with random probes and suspicions that can be refuted. */

import type {
  Era,
  HybridTime,
  RandomSource,
  StreamPosition,
} from '@lockpin/types';
import {UPDATES_PER_DATAGRAM} from './datagrams.js';
import type {Datagram, DatagramBody} from './datagrams.js';
import {isUsable, supersedes} from './member.js';
import type {Member, MemberIdentity} from './member.js';
import {UpdateQueue} from './updateQueue.js';

/** Settings of the failure detector; times are in milliseconds. */
export interface MembershipSettings {
  readonly probeInterval: number;
  readonly ackTimeout: number;
  /** Nodes asked to probe a target that did not answer. */
  readonly indirectProbes: number;
  /** Time until a suspect is dead, per power of ten of the fleet size. */
  readonly suspicionTimeout: number;
  /** Retention of dead members, so that old updates cannot revive them. */
  readonly deadRetention: number;
  /** Interval of probes to a dead member, in case a partition has healed. */
  readonly deadProbeInterval: number;
}

/** Defaults for the expected fleet size; see docs/CAPACITY.md. */
export const DEFAULT_MEMBERSHIP_SETTINGS: MembershipSettings = {
  probeInterval: 1000,
  ackTimeout: 300,
  indirectProbes: 3,
  suspicionTimeout: 2000,
  deadRetention: 7_200_000,
  deadProbeInterval: 5000,
};

/** State of the node that is sent with each datagram. */
export interface MembershipContext {
  readonly version: number;
  readonly digest: string;
  /** Era of the log that the state was folded from. */
  readonly era: Era;
  readonly holders: StreamPosition;
  readonly time: HybridTime;
}

/** An action that the failure detector requests. */
export type MembershipAction =
  | {
      readonly kind: 'send';
      readonly address: string;
      readonly datagram: Datagram;
    }
  | {
      readonly kind: 'member-changed';
      readonly member: Member;
      readonly before: Member | undefined;
    };

interface Probe {
  readonly target: string;
  readonly sentAt: number;
  isIndirect: boolean;
}

interface Relay {
  readonly requester: string;
  readonly sequence: number;
}

/**
 * Limit of the score that missed answers raise. It extends the time-outs when
 * this node itself is slow.
 */
const MAX_LOCAL_HEALTH_SCORE = 8;

/** Tracks the nodes of the fleet, driven only by datagrams and time. */
export class Membership {
  private readonly members = new Map<string, Member>();
  private readonly changedAt = new Map<string, number>();
  /** Boxes that are suspect or dead, the only states that expire. */
  private readonly suspectOrDead = new Set<string>();
  private readonly updates = new UpdateQueue();
  private readonly probes = new Map<number, Probe>();
  private readonly relays = new Map<number, Relay>();
  private probeOrder: string[] = [];
  private self: Member;
  private sequence = 0;
  private nextProbeAt = 0;
  private nextDeadProbeAt = 0;
  private localHealthScore = 0;

  constructor(
    identity: MemberIdentity,
    private readonly settings = DEFAULT_MEMBERSHIP_SETTINGS,
  ) {
    this.self = {
      ...identity,
      state: 'alive',
      refutation: 0,
      isWatching: false,
    };
    this.members.set(identity.box, this.self);
  }

  get own(): Member {
    return this.self;
  }

  get(box: string): Member | undefined {
    return this.members.get(box);
  }

  /** All known members, including dead ones. */
  all(): readonly Member[] {
    return [...this.members.values()];
  }

  /** Usable members other than this node. */
  reachable(): readonly Member[] {
    return this.all().filter(
      (member) => isUsable(member) && member.box !== this.self.box,
    );
  }

  /** Announces a change of this node's own state. */
  announce(change: {
    readonly state?: 'leaving';
    readonly isWatching?: boolean;
  }): void {
    this.self = {
      ...this.self,
      ...change,
      refutation: this.self.refutation + 1,
    };
    this.members.set(this.self.box, this.self);
    this.updates.add(this.self);
  }

  /** Adds members from other sources: the platform's list or a peer. */
  mergeMembers(
    now: number,
    added: readonly Member[],
  ): readonly MembershipAction[] {
    return added.flatMap((member) => this.mergeMember(now, member));
  }

  /** Sends probes, expires suspicions and removes dead members. */
  tick(
    now: number,
    random: RandomSource,
    context: MembershipContext,
  ): readonly MembershipAction[] {
    return [
      ...this.expireProbes(now, random, context),
      ...this.expireSuspicions(now),
      ...this.probeNext(now, random, context),
      ...this.probeDead(now, random, context),
    ];
  }

  /** Merges the members of a datagram and answers it. */
  receive(
    now: number,
    datagram: Datagram,
    context: MembershipContext,
  ): readonly MembershipAction[] {
    const changes = [datagram.from, ...datagram.news].flatMap((member) =>
      this.mergeMember(now, member),
    );
    return [...changes, ...this.answer(now, datagram, context)];
  }

  /** Adds the header, with member updates to disseminate, to a body. */
  datagram(body: DatagramBody, context: MembershipContext): Datagram {
    const news = this.updates.take(UPDATES_PER_DATAGRAM, this.members.size);
    return {from: this.self, news, ...context, ...body};
  }

  private answer(
    now: number,
    datagram: Datagram,
    context: MembershipContext,
  ): readonly MembershipAction[] {
    const {from} = datagram;
    switch (datagram.kind) {
      case 'ping': {
        const {sequence} = datagram;
        return [this.send(from, {kind: 'ack', sequence}, context)];
      }
      case 'ack':
        return this.acknowledged(datagram.sequence, context);
      case 'ping-request':
        return this.relayPing(now, datagram, context);
      default:
        return [];
    }
  }

  private acknowledged(
    sequence: number,
    context: MembershipContext,
  ): readonly MembershipAction[] {
    if (this.probes.delete(sequence)) {
      this.localHealthScore = Math.max(0, this.localHealthScore - 1);
    }
    const relay = this.relays.get(sequence);
    const requester = relay && this.members.get(relay.requester);
    if (relay === undefined || requester === undefined) {
      return [];
    }
    this.relays.delete(sequence);
    const body: DatagramBody = {kind: 'ack', sequence: relay.sequence};
    return [this.send(requester, body, context)];
  }

  private relayPing(
    _now: number,
    request: Datagram & {readonly kind: 'ping-request'},
    context: MembershipContext,
  ): readonly MembershipAction[] {
    const target = this.members.get(request.target);
    if (target === undefined) {
      return [];
    }
    this.sequence += 1;
    this.relays.set(this.sequence, {
      requester: request.from.box,
      sequence: request.sequence,
    });
    return [
      this.send(target, {kind: 'ping', sequence: this.sequence}, context),
    ];
  }

  private mergeMember(
    now: number,
    update: Member,
  ): readonly MembershipAction[] {
    if (update.box === this.self.box) {
      this.refute(update);
      return [];
    }
    const before = this.members.get(update.box);
    if (before !== undefined && !supersedes(update, before)) {
      return [];
    }
    this.members.set(update.box, update);
    this.changedAt.set(update.box, now);
    if (update.state === 'suspect' || update.state === 'dead') {
      this.suspectOrDead.add(update.box);
    } else {
      this.suspectOrDead.delete(update.box);
    }
    this.updates.add(update);
    return [{kind: 'member-changed', member: update, before}];
  }

  /** Refutes an update of this node as suspect or dead, by a higher number. */
  private refute(update: Member): void {
    const isOwn = update.incarnation === this.self.incarnation;
    const isFailed = update.state === 'suspect' || update.state === 'dead';
    if (isOwn && isFailed && update.refutation >= this.self.refutation) {
      this.self = {...this.self, refutation: update.refutation + 1};
      this.members.set(this.self.box, this.self);
      this.updates.add(this.self);
    }
  }

  private expireProbes(
    now: number,
    random: RandomSource,
    context: MembershipContext,
  ): readonly MembershipAction[] {
    const actions: MembershipAction[] = [];
    const timeout = this.settings.ackTimeout * (1 + this.localHealthScore);
    for (const [sequence, probe] of this.probes) {
      if (!probe.isIndirect && now - probe.sentAt >= timeout) {
        probe.isIndirect = true;
        actions.push(
          ...this.requestIndirectProbes(sequence, probe, random, context),
        );
      } else if (now - probe.sentAt >= timeout * 3) {
        this.probes.delete(sequence);
        this.localHealthScore = Math.min(
          MAX_LOCAL_HEALTH_SCORE,
          this.localHealthScore + 1,
        );
        actions.push(...this.transition(now, probe.target, 'alive', 'suspect'));
      }
    }
    return actions;
  }

  private requestIndirectProbes(
    sequence: number,
    probe: Probe,
    random: RandomSource,
    context: MembershipContext,
  ): readonly MembershipAction[] {
    const candidates = this.reachable().filter(({box}) => box !== probe.target);
    const chosen = sample(candidates, this.settings.indirectProbes, random);
    const body: DatagramBody = {
      kind: 'ping-request',
      sequence,
      target: probe.target,
    };
    return chosen.map((candidate) => this.send(candidate, body, context));
  }

  private expireSuspicions(now: number): readonly MembershipAction[] {
    const magnitude = Math.ceil(Math.log10(this.members.size + 1));
    const timeout =
      this.settings.suspicionTimeout *
      magnitude *
      (1 + this.localHealthScore / 2);
    const actions: MembershipAction[] = [];
    for (const member of this.suspectOrDeadMembers()) {
      const age = now - (this.changedAt.get(member.box) ?? now);
      if (member.state === 'suspect' && age >= timeout) {
        actions.push(...this.transition(now, member.box, 'suspect', 'dead'));
      } else if (
        member.state === 'dead' &&
        age >= this.settings.deadRetention
      ) {
        this.members.delete(member.box);
        this.changedAt.delete(member.box);
        this.suspectOrDead.delete(member.box);
      }
    }
    return actions;
  }

  private suspectOrDeadMembers(): readonly Member[] {
    return [...this.suspectOrDead].flatMap(
      (box) => this.members.get(box) ?? [],
    );
  }

  private transition(
    now: number,
    box: string,
    from: Member['state'],
    to: Member['state'],
  ): readonly MembershipAction[] {
    const member = this.members.get(box);
    const hasFailedLeaving = member?.state === 'leaving' && to === 'suspect';
    if (member?.state !== from && !hasFailedLeaving) {
      return [];
    }
    const state = hasFailedLeaving ? 'dead' : to;
    return this.mergeMember(now, {...(member as Member), state});
  }

  private probeNext(
    now: number,
    random: RandomSource,
    context: MembershipContext,
  ): readonly MembershipAction[] {
    if (now < this.nextProbeAt) {
      return [];
    }
    this.nextProbeAt = now + this.settings.probeInterval;
    const target = this.nextTarget(random);
    return target === undefined ? [] : [this.probe(now, target, context)];
  }

  private nextTarget(random: RandomSource): Member | undefined {
    for (let attempts = 0; attempts <= this.members.size; attempts += 1) {
      if (this.probeOrder.length === 0) {
        this.probeOrder = sample(
          [...this.members.keys()],
          this.members.size,
          random,
        );
      }
      const member = this.members.get(this.probeOrder.pop() ?? '');
      const isOther = member !== undefined && member.box !== this.self.box;
      if (isOther && member.state !== 'dead') {
        return member;
      }
    }
    return undefined;
  }

  private probeDead(
    now: number,
    random: RandomSource,
    context: MembershipContext,
  ): readonly MembershipAction[] {
    if (now < this.nextDeadProbeAt) {
      return [];
    }
    this.nextDeadProbeAt = now + this.settings.deadProbeInterval;
    const dead = this.suspectOrDeadMembers().filter(
      ({state}) => state === 'dead',
    );
    return sample(dead, 1, random).map((target) => {
      this.sequence += 1;
      const body: DatagramBody = {kind: 'ping', sequence: this.sequence};
      return this.send(target, body, context);
    });
  }

  private probe(
    now: number,
    target: Member,
    context: MembershipContext,
  ): MembershipAction {
    this.sequence += 1;
    this.probes.set(this.sequence, {
      target: target.box,
      sentAt: now,
      isIndirect: false,
    });
    return this.send(target, {kind: 'ping', sequence: this.sequence}, context);
  }

  /** Tells a suspect or dead receiver its state, so that it can refute it. */
  private send(
    to: Member,
    body: DatagramBody,
    context: MembershipContext,
  ): MembershipAction {
    const datagram = this.datagram(body, context);
    const known = this.members.get(to.box);
    const isSuspectOrDead =
      known?.state === 'suspect' || known?.state === 'dead';
    const news = isSuspectOrDead ? [known, ...datagram.news] : datagram.news;
    return {
      kind: 'send',
      address: to.peerAddress,
      datagram: {...datagram, news},
    };
  }
}

/** A random sample of the items, in random order. */
export function sample<T>(
  items: readonly T[],
  size: number,
  random: RandomSource,
): T[] {
  const pool = [...items];
  const count = Math.min(size, pool.length);
  for (let i = 0; i < count; i += 1) {
    const j = i + Math.floor(random() * (pool.length - i));
    [pool[i], pool[j]] = [pool[j] as T, pool[i] as T];
  }
  return pool.slice(0, count);
}
