// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Guards and permit holders whose messages can be held back, doubled and lost. */

import {NO_FENCE, PermitHolder} from '@lockpin/floor';
import type {Fence, GuardReport, HolderReply} from '@lockpin/floor';
import {seededRandom} from '@lockpin/utils';
import type {Resource} from '@lockpin/types';
import {GuardBrain} from '../../guard/guardBrain.js';
import type {GuardAction, GuardEvent} from '../../guard/guardMessages.js';

/** The one service of the world. */
export const SERVICE = 'customer/service';

/** Its upstreams, of one slot each. */
export const UPSTREAMS = 6;

/** One thing that may happen. */
export type Step =
  | {readonly kind: 'sicken' | 'heal'; readonly guard: number}
  | {readonly kind: 'tick'; readonly milliseconds: number}
  | {
      readonly kind: 'deliver';
      readonly message: number;
      readonly again: boolean;
    }
  | {readonly kind: 'drop'; readonly message: number}
  | {readonly kind: 'deliver-all' | 'new-holder'}
  | {readonly kind: 'learn-fence'; readonly guard: number}
  | {readonly kind: 'restore-log'; readonly lost: number}
  | {
      readonly kind: 'restart';
      readonly guard: number;
      readonly logIsAway: boolean;
    };

/** A message under way. */
export type Message =
  | {
      readonly kind: 'report';
      readonly guard: number;
      readonly holder: number;
      readonly report: GuardReport;
    }
  | {
      readonly kind: 'reply';
      readonly guard: number;
      readonly reply: HolderReply;
    };

function upstream(i: number): Resource<'Upstream'> {
  return {
    kind: 'Upstream',
    name: `${SERVICE}/upstream-${i}`,
    version: 1,
    spec: {
      address: `127.0.0.1:${9000 + i}`,
      dataCentre: 'one',
      box: `box-${i}`,
      slots: 1,
      connections: 10,
      state: 'in-service',
    },
  };
}

/** Guards and holders that exchange messages which the steps may hold back. */
export class FloorWorld {
  now = 1_000_000;
  readonly holders: PermitHolder[] = [];
  readonly guards: GuardBrain[] = [];
  readonly messages: Message[] = [];
  private readonly incarnations: number[] = [];
  /** Of each holder, in the order in which they came. */
  private readonly fences: Fence[] = [];
  /** Where the next claim will stand in the log. */
  private next: Fence = {era: 1, offset: 0};
  private readonly random = seededRandom(1);
  private calls = 0;

  constructor(private readonly floorSlots: number) {
    this.newHolder();
    for (let i = 0; i < UPSTREAMS; i += 1) {
      this.incarnations.push(0);
      this.startGuard(i, false);
    }
  }

  ejectedCount(): number {
    return this.guards
      .flatMap((guard) => guard.standings(this.now))
      .filter(({state}) => state === 'ejected' || state === 'probation').length;
  }

  run(step: Step): void {
    switch (step.kind) {
      case 'sicken':
        this.callMany(step.guard, 500);
        break;
      case 'heal':
        this.callMany(step.guard, 200);
        break;
      case 'tick':
        this.now += step.milliseconds;
        this.guards.forEach((_, i) => this.tell(i, {kind: 'tick'}));
        break;
      case 'deliver':
        this.deliver(step.message, step.again);
        break;
      case 'drop':
        this.messages.splice(step.message % (this.messages.length || 1), 1);
        break;
      case 'deliver-all':
        for (let i = this.messages.length; i > 0; i -= 1) {
          this.deliverAt(0, false);
        }
        break;
      case 'new-holder':
        this.newHolder();
        break;
      case 'learn-fence':
        this.learnFence(step.guard);
        break;
      case 'restore-log':
        this.restoreLog(step.lost);
        break;
      case 'restart':
        this.startGuard(step.guard, step.logIsAway);
        break;
    }
  }

  newHolder(): void {
    const fence = this.next;
    this.fences.push(fence);
    this.next = {...fence, offset: fence.offset + 1};
    this.holders.push(
      new PermitHolder(fence, {
        floorSlots: this.floorSlots,
        settleMilliseconds: 0,
        upstreams: Array.from({length: UPSTREAMS}, (_, i) => ({
          name: upstream(i).name,
          slots: 1,
          inService: true,
        })),
      }),
    );
  }

  startGuard(i: number, logIsAway: boolean): void {
    this.incarnations[i] = (this.incarnations[i] ?? 0) + 1;
    const incarnation = String(this.incarnations[i]).padStart(4, '0');
    this.guards[i] = new GuardBrain({box: `box-${i}`, incarnation});
    this.tell(i, {
      kind: 'services-changed',
      services: [
        {name: SERVICE, sensitivity: 'fast', upstreams: [upstream(i)]},
      ],
    });
    if (!logIsAway) {
      this.learnFence(i);
      this.tell(i, {kind: 'holders-read'});
    }
  }

  /** The newest fence, unless another is given: what a lagging peer tells. */
  learnFence(i: number, holder = this.holders.length): void {
    const fence = this.fences[holder - 1] ?? NO_FENCE;
    this.tell(i, {kind: 'fence-learnt', service: SERVICE, fence});
  }

  /** The log comes back as it was: offsets of fences are given out again. */
  restoreLog(lost: number): void {
    const {era, offset} = this.next;
    this.next = {era: era + 1, offset: Math.max(0, offset - lost)};
  }

  callMany(i: number, status: number, count = 40): void {
    for (let n = 0; n < count; n += 1) {
      this.calls += 1;
      const id = String(this.calls);
      this.now += 5;
      this.tell(i, {kind: 'call-offered', call: call(id, i, this.now)});
      this.tell(i, {
        kind: 'upstream-answered',
        callId: id,
        status,
        isShed: false,
        answer: undefined,
      });
    }
  }

  private tell(i: number, event: GuardEvent): void {
    const guard = this.guards[i] as GuardBrain;
    const actions = guard.handle(this.now, this.random, event);
    actions.forEach((action) => this.take(i, action));
  }

  /** A guard may still believe in any holder there ever was. */
  private take(guard: number, action: GuardAction): void {
    if (action.kind !== 'report') {
      return;
    }
    for (const report of action.reports) {
      const newest = this.holders.length - 1;
      const holder =
        this.random() < 0.7
          ? newest
          : Math.floor(this.random() * this.holders.length);
      this.messages.push({kind: 'report', guard, holder, report});
    }
  }

  /** Mostly one of the latest messages, now and then a much delayed one. */
  private deliver(index: number, again: boolean): void {
    const count = this.messages.length;
    if (count > 0) {
      const fromEnd = index < 30 ? index % Math.min(6, count) : index % count;
      this.deliverAt(count - 1 - fromEnd, again);
    }
  }

  deliverAt(at: number, again: boolean): void {
    const message = this.messages[at] as Message;
    if (!again) {
      this.messages.splice(at, 1);
    }
    if (message.kind === 'reply') {
      const {guard, reply} = message;
      this.tell(guard, {kind: 'holder-replied', service: SERVICE, reply});
      return;
    }
    const {guard, holder, report} = message;
    const reply = this.holders[holder]?.report(this.now, report);
    if (reply !== undefined) {
      this.messages.push({kind: 'reply', guard, reply});
    }
  }
}

function call(id: string, i: number, now: number) {
  return {
    id,
    service: SERVICE,
    upstream: upstream(i).name,
    customer: 'customer',
    weight: 1,
    route: 'route',
    repetition: 'repeatable' as const,
    priority: 5,
    deadline: now + 10_000,
    attempt: 1,
    retryShare: 0.1,
    onceKey: undefined,
    requestDigest: '',
  };
}
