// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Simulates boxes that enforce limits together, and the network between them,
 * on a virtual clock.
 */

import type {RandomSource} from '@lockpin/types';
import {seededRandom} from '@lockpin/utils';
import {REPLY_TIMEOUT_MILLISECONDS, LimitClient} from '../../limitClient.js';
import type {Admission, LimitAction} from '../../limitClient.js';
import type {LimitReply, LimitRequest} from '../../limitMessages.js';
import type {LimitFleet} from '../../poolLinks.js';
import {maximumInWindow} from '../../rateLimit.js';
import type {LimitRules, RateLimit} from '../../rateLimit.js';
import {TokenPool} from '../../tokenPool.js';
import {peakWindowCount} from './alternativeLimiters.js';

const TICK_MILLISECONDS = 200;

/** Larger than any simulated duration, and different from 0. */
const START_TIME = 1_000_000;

/** The limit and the load of one customer. */
export interface SimulatedCustomer {
  readonly name: string;
  readonly limit: RateLimit;
  readonly callsPerSecond: number;
  /** Number of boxes that its callers use. */
  readonly boxes: number;
}

/** Outcomes of a customer's calls. */
export interface Tally {
  readonly admittedAt: number[];
  called: number;
  overLimit: number;
  unknown: number;
  /** Calls that were not decided immediately. */
  waited: number;
}

interface Box {
  readonly name: string;
  client: LimitClient;
  pool: TokenPool;
  generation: number;
  isUp: boolean;
  /** Outgoing or incoming messages of this box are held back. */
  cutOut: boolean;
  cutIn: boolean;
  messages: number;
  /** The box is suspended until then. */
  resumesAt: number;
  /** Milliseconds by which its clock is ahead. */
  clockOffset: number;
}

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** A message held back by a cut link; dropped if its receiver restarts. */
interface HeldMessage {
  readonly from: Box;
  readonly to: Box;
  readonly generation: number;
  readonly run: () => void;
}

/** Simulates calls against real pools and clients. */
export class LimitSimulation {
  readonly rules: LimitRules = {
    windowMilliseconds: 5000,
    overage: 0.1,
    slack: 20,
  };
  readonly boxes: Box[] = [];
  readonly tallies = new Map<string, Tally>();
  now = START_TIME;
  private order = 0;
  private scheduled: ScheduledEvent[] = [];
  private held: HeldMessage[] = [];
  private readonly limits = new Map<string, RateLimit>();
  private readonly random: RandomSource;
  private readonly fleet: LimitFleet;
  private readonly waiting = new Map<string, string>();
  private serial = 0;

  constructor(count: number, seed: number) {
    this.random = seededRandom(seed);
    const names = Array.from({length: count}, (_, i) => `box-${i + 1}`);
    this.fleet = {boxes: count, candidates: names};
    names.forEach((name) => this.boxes.push(this.createBox(name)));
    this.boxes.forEach((box) =>
      this.schedule(this.random() * TICK_MILLISECONDS, () => this.tick(box)),
    );
  }

  /** Starts the calls of a customer, for the given time. */
  startCalls(customer: SimulatedCustomer, milliseconds: number): void {
    this.limits.set(customer.name, customer.limit);
    this.tally(customer.name);
    const callerBoxes = [...this.boxes]
      .sort(() => this.random() - 0.5)
      .slice(0, customer.boxes);
    const end = this.now + milliseconds;
    const next = (): void => {
      const pause = -Math.log(1 - this.random()) / customer.callsPerSecond;
      this.schedule(pause * 1000, () => {
        if (this.now < end) {
          this.call(customer.name, callerBoxes);
          next();
        }
      });
    };
    next();
  }

  setLimit(customer: string, limit: RateLimit): void {
    this.limits.set(customer, limit);
    this.boxes.forEach(({client}) => client.limitChanged(customer));
  }

  restart(box: Box, milliseconds: number): void {
    box.isUp = false;
    box.generation += 1;
    this.schedule(milliseconds, () => {
      Object.assign(box, this.createComponents(box.name, box.generation), {
        isUp: true,
      });
    });
  }

  /** Suspends a box; messages to it wait until it resumes. */
  suspend(box: Box, milliseconds: number): void {
    if (box.resumesAt <= this.now) {
      box.resumesAt = this.now + milliseconds;
    }
  }

  /**
   * Sets the time of day of a box forwards, which looks like a suspension
   * there.
   */
  stepClock(box: Box, milliseconds: number): void {
    box.clockOffset += milliseconds;
    box.client.clockGained(milliseconds);
    box.pool.clockGained(milliseconds);
  }

  run(milliseconds: number): void {
    const end = this.now + milliseconds;
    while ((this.scheduled[0]?.at ?? Number.POSITIVE_INFINITY) <= end) {
      const next = this.scheduled.shift() as ScheduledEvent;
      this.now = Math.max(this.now, next.at);
      next.run();
    }
    this.now = end;
  }

  tally(customer: string): Tally {
    const existing = this.tallies.get(customer);
    if (existing !== undefined) {
      return existing;
    }
    const created = {
      admittedAt: [],
      called: 0,
      overLimit: 0,
      unknown: 0,
      waited: 0,
    };
    this.tallies.set(customer, created);
    return created;
  }

  /** Calls of the fullest window, relative to the bound. */
  peakWindowUse(customer: string, limit: RateLimit, since = 0): number {
    const times = this.tally(customer).admittedAt.filter((at) => at >= since);
    const maximumCount = peakWindowCount(times, this.rules.windowMilliseconds);
    return maximumCount / maximumInWindow(limit, this.rules);
  }

  private createBox(name: string): Box {
    const state = {
      isUp: true,
      cutOut: false,
      cutIn: false,
      messages: 0,
      resumesAt: 0,
      clockOffset: 0,
    };
    return {name, ...state, generation: 1, ...this.createComponents(name, 1)};
  }

  private createComponents(
    box: string,
    process: number,
  ): Pick<Box, 'client' | 'pool'> {
    const pool = new TokenPool({
      box,
      process,
      limitOf: (customer) => this.limits.get(customer),
      rules: () => this.rules,
      boxes: () => this.fleet.boxes,
    });
    return {client: new LimitClient(box), pool};
  }

  private call(customer: string, callerBoxes: readonly Box[]): void {
    const available = callerBoxes.filter(
      (box) => box.isUp && this.isAwake(box),
    );
    const box = available[Math.floor(this.random() * available.length)];
    if (box === undefined) {
      return;
    }
    this.serial += 1;
    const callId = `call-${this.serial}`;
    const tally = this.tally(customer);
    tally.called += 1;
    this.waiting.set(callId, customer);
    this.performActions(
      box,
      box.client.callArrived(this.nowAt(box), callId, customer),
    );
    tally.waited += this.waiting.has(callId) ? 1 : 0;
  }

  private tick(box: Box): void {
    if (box.isUp && this.isAwake(box)) {
      const now = this.nowAt(box);
      box.pool.tick(now);
      this.performActions(box, box.client.tick(now, this.fleet));
    }
    this.schedule(TICK_MILLISECONDS, () => this.tick(box));
  }

  private performActions(box: Box, actions: readonly LimitAction[]): void {
    for (const action of actions) {
      if (action.kind === 'decided') {
        this.decided(action.callId, action.admission);
      } else if (action.kind === 'send') {
        this.send(box, action.box, action.request);
      }
    }
  }

  private decided(callId: string, admission: Admission): void {
    const tally = this.tally(this.waiting.get(callId) ?? '');
    this.waiting.delete(callId);
    if (admission.kind === 'admitted') {
      tally.admittedAt.push(this.now);
    } else if (admission.kind === 'over-limit') {
      tally.overLimit += 1;
    } else {
      tally.unknown += 1;
    }
  }

  private send(from: Box, to: string, request: LimitRequest): void {
    from.messages += 1;
    const {generation} = from;
    if (request.draws.length > 0) {
      this.schedule(REPLY_TIMEOUT_MILLISECONDS, () => {
        if (from.generation === generation && from.isUp) {
          this.performActions(from, from.client.expireDraws(this.nowAt(from)));
        }
      });
    }
    const pool = this.boxes.find(({name}) => name === to) as Box;
    this.deliver(from, pool, pool.generation, () => {
      const reply = pool.pool.handleRequest(this.nowAt(pool), request);
      this.deliver(pool, from, generation, () =>
        this.replyReceived(from, reply),
      );
    });
  }

  private replyReceived(box: Box, reply: LimitReply): void {
    this.performActions(box, box.client.replyReceived(this.nowAt(box), reply));
  }

  /** Delivers held messages whose link works again. */
  deliverHeld(): void {
    const held = this.held;
    this.held = [];
    held.forEach(({from, to, generation, run}) =>
      this.deliver(from, to, generation, run),
    );
  }

  private deliver(
    from: Box,
    to: Box,
    generation: number,
    run: () => void,
  ): void {
    const isCut = (): boolean => from !== to && (from.cutOut || to.cutIn);
    if (isCut()) {
      this.held.push({from, to, generation, run});
      return;
    }
    this.schedule(from === to ? 0 : 1 + this.random() * 3, () => {
      if (isCut()) {
        this.held.push({from, to, generation, run});
      } else if (to.isUp && to.generation === generation) {
        this.whenAwake(to, run);
      }
    });
  }

  private nowAt({clockOffset}: Box): number {
    return this.now + clockOffset;
  }

  private isAwake({resumesAt}: Box): boolean {
    return resumesAt <= this.now;
  }

  private whenAwake(box: Box, run: () => void): void {
    if (this.isAwake(box)) {
      run();
    } else {
      this.schedule(box.resumesAt - this.now, run);
    }
  }

  private schedule(milliseconds: number, run: () => void): void {
    this.order += 1;
    const scheduled = {at: this.now + milliseconds, order: this.order, run};
    let i = this.scheduled.length;
    while (
      i > 0 &&
      (this.scheduled[i - 1] as ScheduledEvent).at > scheduled.at
    ) {
      i -= 1;
    }
    this.scheduled.splice(i, 0, scheduled);
  }
}
