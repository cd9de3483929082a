// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Boxes that keep limits together, and the ways between them, on a virtual clock. */

import type {RandomSource} from '@lockpin/types';
import {seededRandom} from '@lockpin/utils';
import {ANSWER_MILLISECONDS, LimitClient} from '../../limitClient.js';
import type {Admission, LimitAction} from '../../limitClient.js';
import type {LimitReply, LimitRequest} from '../../limitMessages.js';
import type {LimitFleet} from '../../poolLinks.js';
import {mostInWindow} from '../../rateLimit.js';
import type {LimitRules, RateLimit} from '../../rateLimit.js';
import {TokenPool} from '../../tokenPool.js';
import {fullestWindow} from './otherWays.js';

const TICK_MILLISECONDS = 200;

/** Later than any played time, and apart from 0. */
const EPOCH = 1_000_000;

/** How one customer calls. */
export interface PlayedCustomer {
  readonly name: string;
  readonly limit: RateLimit;
  readonly callsPerSecond: number;
  /** Its callers are on this many boxes. */
  readonly boxes: number;
}

/** What became of a customer's calls. */
export interface Tally {
  readonly admittedAt: number[];
  called: number;
  overLimit: number;
  unknown: number;
  /** Calls that were not decided at once. */
  waited: number;
}

interface Box {
  readonly name: string;
  client: LimitClient;
  pool: TokenPool;
  life: number;
  isUp: boolean;
  /** Messages of this box reach nobody, or none reaches it. */
  cutOut: boolean;
  cutIn: boolean;
  messages: number;
  /** Its machine is suspended until then. */
  wakesAt: number;
  /** How far its clock has been moved ahead. */
  ahead: number;
}

interface Timed {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** A message on a way that is cut; lost when its receiver ends meanwhile. */
interface Held {
  readonly from: Box;
  readonly to: Box;
  readonly life: number;
  readonly run: () => void;
}

/** Plays calls against real pools and clients. */
export class LimitWorld {
  readonly rules: LimitRules = {
    windowMilliseconds: 5000,
    overage: 0.1,
    slack: 20,
  };
  readonly boxes: Box[] = [];
  readonly tallies = new Map<string, Tally>();
  now = EPOCH;
  private order = 0;
  private timed: Timed[] = [];
  private held: Held[] = [];
  private readonly limits = new Map<string, RateLimit>();
  private readonly random: RandomSource;
  private readonly fleet: LimitFleet;
  private readonly waiting = new Map<string, string>();
  private serial = 0;

  constructor(count: number, seed: number) {
    this.random = seededRandom(seed);
    const names = Array.from({length: count}, (_, i) => `box-${i + 1}`);
    this.fleet = {boxes: count, candidates: names};
    names.forEach((name) => this.boxes.push(this.newBox(name)));
    this.boxes.forEach((box) =>
      this.after(this.random() * TICK_MILLISECONDS, () => this.tick(box)),
    );
  }

  /** A customer calls from now on for some time. */
  calls(customer: PlayedCustomer, milliseconds: number): void {
    this.limits.set(customer.name, customer.limit);
    this.tally(customer.name);
    const places = [...this.boxes]
      .sort(() => this.random() - 0.5)
      .slice(0, customer.boxes);
    const end = this.now + milliseconds;
    const next = (): void => {
      const pause = -Math.log(1 - this.random()) / customer.callsPerSecond;
      this.after(pause * 1000, () => {
        if (this.now < end) {
          this.call(customer.name, places);
          next();
        }
      });
    };
    next();
  }

  limit(customer: string, limit: RateLimit): void {
    this.limits.set(customer, limit);
    this.boxes.forEach(({client}) => client.limitChanged(customer));
  }

  restart(box: Box, milliseconds: number): void {
    box.isUp = false;
    box.life += 1;
    this.after(milliseconds, () => {
      Object.assign(box, this.parts(box.name, box.life), {isUp: true});
    });
  }

  /** The machine of a box stands still; what comes meanwhile waits for it. */
  suspend(box: Box, milliseconds: number): void {
    if (box.wakesAt <= this.now) {
      box.wakesAt = this.now + milliseconds;
    }
  }

  /** Time of day is set forwards on a box, which looks like a suspension there. */
  setForwards(box: Box, milliseconds: number): void {
    box.ahead += milliseconds;
    box.client.clockGained(milliseconds);
    box.pool.clockGained(milliseconds);
  }

  run(milliseconds: number): void {
    const end = this.now + milliseconds;
    while ((this.timed[0]?.at ?? Number.POSITIVE_INFINITY) <= end) {
      const next = this.timed.shift() as Timed;
      this.now = Math.max(this.now, next.at);
      next.run();
    }
    this.now = end;
  }

  tally(customer: string): Tally {
    const found = this.tallies.get(customer);
    if (found !== undefined) {
      return found;
    }
    const made = {
      admittedAt: [],
      called: 0,
      overLimit: 0,
      unknown: 0,
      waited: 0,
    };
    this.tallies.set(customer, made);
    return made;
  }

  /** The share of a window's bound that the fullest window used. */
  fullest(customer: string, limit: RateLimit, since = 0): number {
    const times = this.tally(customer).admittedAt.filter((at) => at >= since);
    const most = fullestWindow(times, this.rules.windowMilliseconds);
    return most / mostInWindow(limit, this.rules);
  }

  private newBox(name: string): Box {
    const state = {
      isUp: true,
      cutOut: false,
      cutIn: false,
      messages: 0,
      wakesAt: 0,
      ahead: 0,
    };
    return {name, ...state, life: 1, ...this.parts(name, 1)};
  }

  private parts(box: string, process: number): Pick<Box, 'client' | 'pool'> {
    const pool = new TokenPool({
      box,
      process,
      limitOf: (customer) => this.limits.get(customer),
      rules: () => this.rules,
      boxes: () => this.fleet.boxes,
    });
    return {client: new LimitClient(box), pool};
  }

  private call(customer: string, places: readonly Box[]): void {
    const up = places.filter((box) => box.isUp && this.isAwake(box));
    const box = up[Math.floor(this.random() * up.length)];
    if (box === undefined) {
      return;
    }
    this.serial += 1;
    const callId = `call-${this.serial}`;
    const tally = this.tally(customer);
    tally.called += 1;
    this.waiting.set(callId, customer);
    this.perform(box, box.client.arrived(this.nowAt(box), callId, customer));
    tally.waited += this.waiting.has(callId) ? 1 : 0;
  }

  private tick(box: Box): void {
    if (box.isUp && this.isAwake(box)) {
      const now = this.nowAt(box);
      box.pool.tick(now);
      this.perform(box, box.client.tick(now, this.fleet));
    }
    this.after(TICK_MILLISECONDS, () => this.tick(box));
  }

  private perform(box: Box, actions: readonly LimitAction[]): void {
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
    const {life} = from;
    if (request.draws.length > 0) {
      this.after(ANSWER_MILLISECONDS, () => {
        if (from.life === life && from.isUp) {
          this.perform(from, from.client.expire(this.nowAt(from)));
        }
      });
    }
    const pool = this.boxes.find(({name}) => name === to) as Box;
    this.carry(from, pool, pool.life, () => {
      const reply = pool.pool.answer(this.nowAt(pool), request);
      this.carry(pool, from, life, () => this.heard(from, reply));
    });
  }

  private heard(box: Box, reply: LimitReply): void {
    this.perform(box, box.client.replied(this.nowAt(box), reply));
  }

  /** What was cut off comes late, once its way is open again. */
  flush(): void {
    const held = this.held;
    this.held = [];
    held.forEach(({from, to, life, run}) => this.carry(from, to, life, run));
  }

  private carry(from: Box, to: Box, life: number, run: () => void): void {
    const isCut = (): boolean => from !== to && (from.cutOut || to.cutIn);
    if (isCut()) {
      this.held.push({from, to, life, run});
      return;
    }
    this.after(from === to ? 0 : 1 + this.random() * 3, () => {
      if (isCut()) {
        this.held.push({from, to, life, run});
      } else if (to.isUp && to.life === life) {
        this.whenAwake(to, run);
      }
    });
  }

  private nowAt({ahead}: Box): number {
    return this.now + ahead;
  }

  private isAwake({wakesAt}: Box): boolean {
    return wakesAt <= this.now;
  }

  private whenAwake(box: Box, run: () => void): void {
    if (this.isAwake(box)) {
      run();
    } else {
      this.after(box.wakesAt - this.now, run);
    }
  }

  private after(milliseconds: number, run: () => void): void {
    this.order += 1;
    const timed = {at: this.now + milliseconds, order: this.order, run};
    let i = this.timed.length;
    while (i > 0 && (this.timed[i - 1] as Timed).at > timed.at) {
      i -= 1;
    }
    this.timed.splice(i, 0, timed);
  }
}
