// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Customers' rate limits at one node, as a client and as a host of token pools.
 */

import {
  REPLY_TIMEOUT_MILLISECONDS,
  LimitClient,
  TokenPool,
} from '@lockpin/limits';
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

/**
 * Range of random numbers that distinguish the processes of a box for as long
 * as their messages matter.
 */
const PROCESS_NUMBERS = 2 ** 32;

/** Dependencies of the customer limits. */
export interface CustomerLimitsContext {
  readonly box: string;
  readonly random: RandomSource;
  readonly clock: Clock;
  readonly rules: () => LimitRules;
  readonly limitOf: (customer: string) => RateLimit | undefined;
  readonly fleet: () => LimitFleet;
  readonly send: (box: string, message: LimitMessage) => void;
  /** Called if a box did not answer; the connection to it may be dead. */
  readonly onUnresponsive: (box: string) => void;
}

/** Enforces the rate limits of customers. */
export class CustomerLimits {
  private readonly client: LimitClient;
  private readonly pool: TokenPool;
  private readonly pendingAdmissions = new Map<
    string,
    (admission: Admission) => void
  >();
  private callCount = 0;

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

  /**
   * Decides whether a customer may make a call; synchronously if a token is
   * available.
   */
  admit(customer: string): Admission | Promise<Admission> {
    if (this.context.limitOf(customer) === undefined) {
      return {kind: 'admitted'};
    }
    this.callCount += 1;
    const callId = String(this.callCount);
    let immediate: Admission | undefined;
    this.pendingAdmissions.set(callId, (admission) => (immediate = admission));
    this.perform(this.client.callArrived(this.now, callId, customer));
    if (immediate !== undefined) {
      return immediate;
    }
    return new Promise((resolve) =>
      this.pendingAdmissions.set(callId, resolve),
    );
  }

  /** Reports that an admitted call did not run and will not. */
  notRun(customer: string): void {
    this.client.callNotRun(this.now, customer);
  }

  /** Applies changed limits of customers. */
  limitsChanged(customers: readonly string[]): void {
    customers.forEach((customer) => this.client.limitChanged(customer));
  }

  /**
   * Adjusts for time added to the clock by a suspension, which may not have
   * passed.
   */
  clockGained(milliseconds: number): void {
    this.client.clockGained(milliseconds);
    this.pool.clockGained(milliseconds);
  }

  /** Advances the pool and the client to the current time. */
  tick(): void {
    this.pool.tick(this.now);
    this.perform(this.client.tick(this.now, this.context.fleet()));
  }

  /** Answers a request of a node to a pool of this node. */
  handleRequest(request: LimitRequest): LimitReply {
    return this.pool.handleRequest(this.now, request);
  }

  /** Handles the reply of a pool. */
  replyReceived(reply: LimitReply): void {
    this.perform(this.client.replyReceived(this.now, reply));
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
        case 'pool-unresponsive':
          this.context.onUnresponsive(action.box);
          break;
        case 'decided':
          this.resolveAdmission(action.callId, action.admission);
          break;
      }
    }
  }

  private send(box: string, request: LimitRequest): void {
    if (box === this.context.box) {
      // Deferred until the current task ends, like a reply from another box.
      queueMicrotask(() => this.replyReceived(this.handleRequest(request)));
      return;
    }
    if (request.draws.length > 0) {
      setTimeout(
        () => this.perform(this.client.expireDraws(this.now)),
        REPLY_TIMEOUT_MILLISECONDS,
      ).unref();
    }
    this.context.send(box, request);
  }

  private resolveAdmission(callId: string, admission: Admission): void {
    const resolve = this.pendingAdmissions.get(callId);
    this.pendingAdmissions.delete(callId);
    resolve?.(admission);
  }
}
