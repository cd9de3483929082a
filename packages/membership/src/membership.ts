// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A failure detector on random probes, with suspicion that can be refuted. */

import type {
  Era,
  HybridTime,
  RandomSource,
  StreamPosition,
} from '@lockpin/types';
import {NEWS_PER_DATAGRAM} from './datagrams.js';
import type {Datagram, DatagramBody} from './datagrams.js';
import {isUsable, supersedes} from './member.js';
import type {Member, MemberIdentity} from './member.js';
import {NewsQueue} from './newsQueue.js';

/** Times of the detector, in milliseconds. */
export interface MembershipSettings {
  readonly probeInterval: number;
  readonly ackTimeout: number;
  /** Nodes asked to probe a target that did not answer. */
  readonly indirectProbes: number;
  /** Suspicion lasts this long, per power of ten of the fleet. */
  readonly suspicion: number;
  /** Dead members are kept this long, so that old news cannot revive them. */
  readonly deadKept: number;
  /** How often one dead member is probed, in case a cut has healed. */
  readonly deadProbeInterval: number;
}

/** Chosen for the letter's size; see docs/CAPACITY.md. */
export const DEFAULT_MEMBERSHIP_SETTINGS: MembershipSettings = {
  probeInterval: 1000,
  ackTimeout: 300,
  indirectProbes: 3,
  suspicion: 2000,
  deadKept: 7_200_000,
  deadProbeInterval: 5000,
};

/** What is told to the node with each datagram. */
export interface MembershipContext {
  readonly version: number;
  readonly digest: string;
  /** Era of the log that the state was folded from. */
  readonly era: Era;
  readonly holders: StreamPosition;
  readonly time: HybridTime;
}

/** What the node must do. */
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

/** Missed answers raise this; it stretches timeouts when we ourselves are slow. */
const MOST_SELF_DOUBT = 8;

/** Knows which nodes are there; decides by datagrams and time alone. */
export class Membership {
  private readonly members = new Map<string, Member>();
  private readonly changedAt = new Map<string, number>();
  /** Boxes that are suspect or dead: the only ones whose time runs out. */
  private readonly doubted = new Set<string>();
  private readonly news = new NewsQueue();
  private readonly probes = new Map<number, Probe>();
  private readonly relays = new Map<number, Relay>();
  private order: string[] = [];
  private self: Member;
  private sequence = 0;
  private nextProbeAt = 0;
  private nextDeadProbeAt = 0;
  private selfDoubt = 0;

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

  /** Every member known, dead ones too. */
  all(): readonly Member[] {
    return [...this.members.values()];
  }

  /** Members other than this node that can be talked to. */
  reachable(): readonly Member[] {
    return this.all().filter(
      (member) => isUsable(member) && member.box !== this.self.box,
    );
  }

  /** Announces a change of this node itself. */
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
    this.news.add(this.self);
  }

  /** Takes in members learnt by other ways: the platform's list or a peer. */
  learn(now: number, learnt: readonly Member[]): readonly MembershipAction[] {
    return learnt.flatMap((member) => this.takeNews(now, member));
  }

  /** Time passed: probes, suspicions and forgetting. */
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

  /** Takes in a datagram. */
  receive(
    now: number,
    datagram: Datagram,
    context: MembershipContext,
  ): readonly MembershipAction[] {
    const changes = [datagram.from, ...datagram.news].flatMap((member) =>
      this.takeNews(now, member),
    );
    return [...changes, ...this.answer(now, datagram, context)];
  }

  /** Wraps a body for one receiver, with news on the way. */
  datagram(body: DatagramBody, context: MembershipContext): Datagram {
    const news = this.news.take(NEWS_PER_DATAGRAM, this.members.size);
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
      this.selfDoubt = Math.max(0, this.selfDoubt - 1);
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

  private takeNews(now: number, news: Member): readonly MembershipAction[] {
    if (news.box === this.self.box) {
      this.refute(news);
      return [];
    }
    const before = this.members.get(news.box);
    if (before !== undefined && !supersedes(news, before)) {
      return [];
    }
    this.members.set(news.box, news);
    this.changedAt.set(news.box, now);
    if (news.state === 'suspect' || news.state === 'dead') {
      this.doubted.add(news.box);
    } else {
      this.doubted.delete(news.box);
    }
    this.news.add(news);
    return [{kind: 'member-changed', member: news, before}];
  }

  /** Others believe us suspect or dead: say louder that we are here. */
  private refute(news: Member): void {
    const isOurs = news.incarnation === this.self.incarnation;
    const isWrong = news.state === 'suspect' || news.state === 'dead';
    if (isOurs && isWrong && news.refutation >= this.self.refutation) {
      this.self = {...this.self, refutation: news.refutation + 1};
      this.members.set(this.self.box, this.self);
      this.news.add(this.self);
    }
  }

  private expireProbes(
    now: number,
    random: RandomSource,
    context: MembershipContext,
  ): readonly MembershipAction[] {
    const actions: MembershipAction[] = [];
    const timeout = this.settings.ackTimeout * (1 + this.selfDoubt);
    for (const [sequence, probe] of this.probes) {
      if (!probe.isIndirect && now - probe.sentAt >= timeout) {
        probe.isIndirect = true;
        actions.push(...this.askOthers(sequence, probe, random, context));
      } else if (now - probe.sentAt >= timeout * 3) {
        this.probes.delete(sequence);
        this.selfDoubt = Math.min(MOST_SELF_DOUBT, this.selfDoubt + 1);
        actions.push(...this.mark(now, probe.target, 'alive', 'suspect'));
      }
    }
    return actions;
  }

  private askOthers(
    sequence: number,
    probe: Probe,
    random: RandomSource,
    context: MembershipContext,
  ): readonly MembershipAction[] {
    const helpers = this.reachable().filter(({box}) => box !== probe.target);
    const chosen = sample(helpers, this.settings.indirectProbes, random);
    const body: DatagramBody = {
      kind: 'ping-request',
      sequence,
      target: probe.target,
    };
    return chosen.map((helper) => this.send(helper, body, context));
  }

  private expireSuspicions(now: number): readonly MembershipAction[] {
    const magnitude = Math.ceil(Math.log10(this.members.size + 1));
    const patience =
      this.settings.suspicion * magnitude * (1 + this.selfDoubt / 2);
    const actions: MembershipAction[] = [];
    for (const member of this.doubtedMembers()) {
      const age = now - (this.changedAt.get(member.box) ?? now);
      if (member.state === 'suspect' && age >= patience) {
        actions.push(...this.mark(now, member.box, 'suspect', 'dead'));
      } else if (member.state === 'dead' && age >= this.settings.deadKept) {
        this.members.delete(member.box);
        this.changedAt.delete(member.box);
        this.doubted.delete(member.box);
      }
    }
    return actions;
  }

  private doubtedMembers(): readonly Member[] {
    return [...this.doubted].flatMap((box) => this.members.get(box) ?? []);
  }

  private mark(
    now: number,
    box: string,
    from: Member['state'],
    to: Member['state'],
  ): readonly MembershipAction[] {
    const member = this.members.get(box);
    const isLeavingDead = member?.state === 'leaving' && to === 'suspect';
    if (member?.state !== from && !isLeavingDead) {
      return [];
    }
    const state = isLeavingDead ? 'dead' : to;
    return this.takeNews(now, {...(member as Member), state});
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
    for (let tries = 0; tries <= this.members.size; tries += 1) {
      if (this.order.length === 0) {
        this.order = sample(
          [...this.members.keys()],
          this.members.size,
          random,
        );
      }
      const member = this.members.get(this.order.pop() ?? '');
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
    const dead = this.doubtedMembers().filter(({state}) => state === 'dead');
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

  /** A suspect or dead receiver is told so, that it may refute it. */
  private send(
    to: Member,
    body: DatagramBody,
    context: MembershipContext,
  ): MembershipAction {
    const datagram = this.datagram(body, context);
    const known = this.members.get(to.box);
    const isDoubted = known?.state === 'suspect' || known?.state === 'dead';
    const news = isDoubted ? [known, ...datagram.news] : datagram.news;
    return {
      kind: 'send',
      address: to.peerAddress,
      datagram: {...datagram, news},
    };
  }
}

/** Some items at random, in random order. */
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
