// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The limits of customers at one node: its part as an entry and as a pool. */

import {ANSWER_MILLISECONDS, LimitClient, TokenPool} from '@lockpin/limits';
import type {
  Admission,
  LimitAction,
  LimitFleet,
  LimitMessage,
  LimitReply,
  LimitRequest,
  LimitRules,
  RateLimit,
} from '@lockpin/limits';
import type {Clock, RandomSource} from '@lockpin/types';

/** Numbers that tell the processes of a box apart, as far as their messages live. */
const PROCESS_NUMBERS = 2 ** 32;

/** What the limits need of their node. */
export interface CustomerLimitsContext {
  readonly box: string;
  readonly random: RandomSource;
  readonly clock: Clock;
  readonly rules: () => LimitRules;
  readonly limitOf: (customer: string) => RateLimit | undefined;
  readonly fleet: () => LimitFleet;
  readonly send: (box: string, message: LimitMessage) => void;
  /** A box did not answer; the connection to it may be dead. */
  readonly onSilence: (box: string) => void;
}

/** Lives as long as the process. */
export class CustomerLimits {
  private readonly client: LimitClient;
  private readonly pool: TokenPool;
  private readonly waiting = new Map<string, (admission: Admission) => void>();
  private serial = 0;

  constructor(private readonly context: CustomerLimitsContext) {
    const {box, random, limitOf, rules, fleet} = context;
    this.client = new LimitClient(box);
    this.pool = new TokenPool({
      box,
      process: Math.floor(random() * PROCESS_NUMBERS),
      limitOf,
      rules,
      boxes: () => fleet().boxes,
    });
  }

  /** Whether a customer may make a call now; at once where a token is in store. */
  admit(customer: string): Admission | Promise<Admission> {
    if (this.context.limitOf(customer) === undefined) {
      return {kind: 'admitted'};
    }
    this.serial += 1;
    const callId = String(this.serial);
    let known: Admission | undefined;
    this.waiting.set(callId, (admission) => (known = admission));
    this.perform(this.client.arrived(this.now, callId, customer));
    if (known !== undefined) {
      return known;
    }
    return new Promise((resolve) => this.waiting.set(callId, resolve));
  }

  /** A call that was admitted has run nowhere, and will not. */
  notRun(customer: string): void {
    this.client.notRun(this.now, customer);
  }

  /** The limits of these customers are others from now on. */
  limitsChanged(customers: readonly string[]): void {
    customers.forEach((customer) => this.client.limitChanged(customer));
  }

  /** The clock counts this much more time from here on, which may not have passed. */
  clockGained(milliseconds: number): void {
    this.client.clockGained(milliseconds);
    this.pool.clockGained(milliseconds);
  }

  /** Time goes on. */
  tick(): void {
    this.pool.tick(this.now);
    this.perform(this.client.tick(this.now, this.context.fleet()));
  }

  /** Another node lends or draws. */
  requested(request: LimitRequest): LimitReply {
    return this.pool.answer(this.now, request);
  }

  /** A pool answered. */
  replied(reply: LimitReply): void {
    this.perform(this.client.replied(this.now, reply));
  }

  private get now(): number {
    return this.context.clock();
  }

  private perform(actions: readonly LimitAction[]): void {
    for (const action of actions) {
      switch (action.kind) {
        case 'send':
          this.send(action.box, action.request);
          break;
        case 'pool-silent':
          this.context.onSilence(action.box);
          break;
        case 'decided':
          this.decided(action.callId, action.admission);
          break;
      }
    }
  }

  private send(box: string, request: LimitRequest): void {
    if (box === this.context.box) {
      // After what is under way here, as an answer from elsewhere would come.
      queueMicrotask(() => this.replied(this.requested(request)));
      return;
    }
    if (request.draws.length > 0) {
      setTimeout(
        () => this.perform(this.client.expire(this.now)),
        ANSWER_MILLISECONDS,
      ).unref();
    }
    this.context.send(box, request);
  }

  private decided(callId: string, admission: Admission): void {
    const tell = this.waiting.get(callId);
    this.waiting.delete(callId);
    tell?.(admission);
  }
}
