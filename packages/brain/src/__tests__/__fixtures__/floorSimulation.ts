// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Simulates guards and permit holders with late, repeated or lost messages. */

import {NO_FENCE, PermitHolder} from '@lockpin/floor';
import type {Fence, GuardReport, HolderReply} from '@lockpin/floor';
import {seededRandom} from '@lockpin/utils';
import type {Resource} from '@lockpin/types';
import {GuardStateMachine} from '../../guard/guardStateMachine.js';
import type {GuardAction, GuardEvent} from '../../guard/guardMessages.js';

/** Name of the only service. */
export const SERVICE = 'customer/service';

/** Number of its upstreams, with one slot each. */
export const UPSTREAMS = 6;

/** A step of the simulation. */
export type Step =
  | {readonly kind: 'fail-calls' | 'complete-calls'; readonly guard: number}
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

/** A message in transit. */
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

function createUpstream(i: number): Resource<'Upstream'> {
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

/** Runs guards and holders whose messages are delivered by steps. */
export class FloorSimulation {
  now = 1_000_000;
  readonly holders: PermitHolder[] = [];
  readonly guards: GuardStateMachine[] = [];
  readonly messages: Message[] = [];
  private readonly incarnations: number[] = [];
  /** The fence of each holder, oldest first. */
  private readonly fences: Fence[] = [];
  /** Position of the next claim in the log. */
  private nextFence: Fence = {era: 1, offset: 0};
  private readonly random = seededRandom(1);
  private callCount = 0;

  constructor(private readonly floorSlots: number) {
    this.addHolder();
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
      case 'fail-calls':
        this.runCalls(step.guard, 500);
        break;
      case 'complete-calls':
        this.runCalls(step.guard, 200);
        break;
      case 'tick':
        this.now += step.milliseconds;
        this.guards.forEach((_, i) => this.handleGuardEvent(i, {kind: 'tick'}));
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
        this.addHolder();
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

  addHolder(): void {
    const fence = this.nextFence;
    this.fences.push(fence);
    this.nextFence = {...fence, offset: fence.offset + 1};
    this.holders.push(
      new PermitHolder(fence, {
        floorSlots: this.floorSlots,
        settleMilliseconds: 0,
        upstreams: Array.from({length: UPSTREAMS}, (_, i) => ({
          name: createUpstream(i).name,
          slots: 1,
          inService: true,
        })),
      }),
    );
  }

  startGuard(i: number, isLogUnavailable: boolean): void {
    this.incarnations[i] = (this.incarnations[i] ?? 0) + 1;
    const incarnation = String(this.incarnations[i]).padStart(4, '0');
    this.guards[i] = new GuardStateMachine({box: `box-${i}`, incarnation});
    this.handleGuardEvent(i, {
      kind: 'services-changed',
      services: [
        {name: SERVICE, sensitivity: 'fast', upstreams: [createUpstream(i)]},
      ],
    });
    if (!isLogUnavailable) {
      this.learnFence(i);
      this.handleGuardEvent(i, {kind: 'holders-read'});
    }
  }

  /** Sends the latest fence, or an older one as a lagging peer would. */
  learnFence(i: number, holder = this.holders.length): void {
    const fence = this.fences[holder - 1] ?? NO_FENCE;
    this.handleGuardEvent(i, {kind: 'fence-learnt', service: SERVICE, fence});
  }

  /** Restores an older copy of the log, so that offsets are assigned again. */
  restoreLog(lost: number): void {
    const {era, offset} = this.nextFence;
    this.nextFence = {era: era + 1, offset: Math.max(0, offset - lost)};
  }

  runCalls(i: number, status: number, count = 40): void {
    for (let n = 0; n < count; n += 1) {
      this.callCount += 1;
      const id = String(this.callCount);
      this.now += 5;
      this.handleGuardEvent(i, {
        kind: 'call-offered',
        call: createCall(id, i, this.now),
      });
      this.handleGuardEvent(i, {
        kind: 'upstream-answered',
        callId: id,
        status,
        isShed: false,
        answer: undefined,
      });
    }
  }

  private handleGuardEvent(i: number, event: GuardEvent): void {
    const guard = this.guards[i] as GuardStateMachine;
    const actions = guard.handle(this.now, this.random, event);
    actions.forEach((action) => this.performAction(i, action));
  }

  /** Sends reports to any holder, since a guard may still know an old one. */
  private performAction(guard: number, action: GuardAction): void {
    if (action.kind !== 'report') {
      return;
    }
    for (const report of action.reports) {
      const latest = this.holders.length - 1;
      const holder =
        this.random() < 0.7
          ? latest
          : Math.floor(this.random() * this.holders.length);
      this.messages.push({kind: 'report', guard, holder, report});
    }
  }

  /** Delivers one of the latest messages or, less often, a much older one. */
  private deliver(index: number, isDuplicated: boolean): void {
    const count = this.messages.length;
    if (count > 0) {
      const fromEnd = index < 30 ? index % Math.min(6, count) : index % count;
      this.deliverAt(count - 1 - fromEnd, isDuplicated);
    }
  }

  deliverAt(at: number, isDuplicated: boolean): void {
    const message = this.messages[at] as Message;
    if (!isDuplicated) {
      this.messages.splice(at, 1);
    }
    if (message.kind === 'reply') {
      const {guard, reply} = message;
      this.handleGuardEvent(guard, {
        kind: 'holder-replied',
        service: SERVICE,
        reply,
      });
      return;
    }
    const {guard, holder, report} = message;
    const reply = this.holders[holder]?.report(this.now, report);
    if (reply !== undefined) {
      this.messages.push({kind: 'reply', guard, reply});
    }
  }
}

function createCall(id: string, i: number, now: number) {
  return {
    id,
    service: SERVICE,
    upstream: createUpstream(i).name,
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
