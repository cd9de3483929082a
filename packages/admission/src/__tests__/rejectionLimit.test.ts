// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Limits of concurrent calls where upstreams reject calls for any reason. */

import {describe, expect, it} from 'vitest';
import {seededRandom} from '@lockpin/utils';
import {AdaptiveLimit} from '../adaptiveLimit.js';
import {Admission} from '../admission.js';
import type {DispatchResult} from '../admission.js';
import type {CreateConcurrencyLimit} from '../concurrencyLimit.js';
import {RejectionLimit} from '../rejectionLimit.js';

const WORK_MILLISECONDS = 500;
const REJECTION_MILLISECONDS = 5;

/** AIMD on all rejections: 30% less at each. */
class RejectionAimd extends AdaptiveLimit {
  override rejected(now: number, callId: string): void {
    this.shed(now, callId, now);
  }
}

/**
 * AIMD with a check of its effect: returns to all slots for 4 s unless ten calls
 * are rejected less often than the ten before them.
 */
class CheckedAimd extends RejectionAimd {
  private results: boolean[] = [];
  private share = 1;
  private ignoredUntil = 0;

  constructor(private readonly full: number) {
    super(full, false);
  }

  override accepted(now: number, callId: string, isSuccess: boolean): void {
    super.accepted(now, callId, isSuccess);
    this.check(now, false);
  }

  override rejected(now: number, callId: string): void {
    if (now >= this.ignoredUntil) {
      super.rejected(now, callId);
    }
    this.check(now, true);
  }

  private check(now: number, isRejected: boolean): void {
    this.results.push(isRejected);
    if (this.results.length < 10) {
      return;
    }
    const share = this.results.filter(Boolean).length / 10;
    if (this.current < this.full && share > this.share * 0.7) {
      this.ignoredUntil = now + 4000;
      for (let i = 0; i < this.full ** 2; i += 1) {
        super.accepted(now, '', true);
      }
    }
    this.share = share;
    this.results = [];
  }
}

const ALGORITHMS: Record<string, CreateConcurrencyLimit> = {
  aimd: (slots, isCold) => new RejectionAimd(slots, isCold),
  checkedAimd: (slots) => new CheckedAimd(slots),
  byConcurrency: (slots, isCold) => new RejectionLimit(slots, isCold),
};

/** Load on one upstream. */
interface Load {
  readonly slots: number;
  readonly callsPerSecond: number;
  /** Whether the upstream rejects a call beside so many running ones. */
  readonly rejects: (running: number, random: number, now: number) => boolean;
}

/** The shares of two minutes of calls, and the limits over time. */
interface Outcome {
  refused: number;
  rejected: number;
  readonly limits: {readonly now: number; readonly limit: number}[];
}

/** Plays calls that do not wait for a slot. */
function play(create: CreateConcurrencyLimit, load: Load): Outcome {
  const random = seededRandom(1);
  const admission = new Admission(load.slots, false, {createLimit: create});
  const outcome: Outcome = {refused: 0, rejected: 0, limits: []};
  const ends: {at: number; id: string; isRejected: boolean}[] = [];
  const start = (now: number, id: string): void => {
    const running = ends.filter(({isRejected}) => !isRejected).length;
    const isRejected = load.rejects(running, random(), now);
    const work = -Math.log(1 - random()) * WORK_MILLISECONDS;
    const at = now + (isRejected ? REJECTION_MILLISECONDS : work);
    ends.push({at, id, isRejected});
    admission.limit.sent(id);
  };
  const end = (now: number, id: string, isRejected: boolean): void => {
    outcome.rejected += isRejected ? 1 : 0;
    if (isRejected) {
      admission.limit.rejected(now, id);
    } else {
      admission.limit.accepted(now, id, true);
    }
    const {started}: DispatchResult = admission.finish(now, id, undefined);
    started.forEach((call) => start(now, call.id));
  };
  const calls = load.callsPerSecond * 120;
  for (let now = 0, i = 0; i < calls; i += 1) {
    now -= Math.log(1 - random()) * (1000 / load.callsPerSecond);
    ends.sort((a, b) => a.at - b.at);
    while (ends[0] !== undefined && ends[0].at <= now) {
      const {at, id, isRejected} = ends.shift() ?? ends[0];
      end(at, id, isRejected);
      ends.sort((a, b) => a.at - b.at);
    }
    const call = {id: `${i}`, customer: 'c', weight: 1, priority: 1};
    const offered = {...call, deadline: now + 5000, mayWait: false};
    if (admission.offer(now, offered).kind === 'start') {
      start(now, call.id);
    } else {
      outcome.refused += 1;
    }
    outcome.limits.push({now, limit: admission.currentLimit});
  }
  outcome.refused /= calls;
  outcome.rejected /= calls;
  return outcome;
}

function figuresOf(load: Load): Record<string, Outcome> {
  return Object.fromEntries(
    Object.entries(ALGORITHMS).map(([name, create]) => [
      name,
      play(create, load),
    ]),
  );
}

describe('the limit of an upstream', () => {
  // Guards against refusing calls that the upstream would run.
  it.each([
    {slots: 11, callsPerSecond: 10, share: 0.55},
    {slots: 8, callsPerSecond: 6, share: 0.5},
  ])('is not lowered by random rejections (%o)', ({share, ...load}) => {
    const rejects = (_: number, random: number): boolean => random < share;
    const {aimd, checkedAimd, byConcurrency} = figuresOf({...load, rejects});
    expect(byConcurrency?.refused).toBeLessThan(0.01);
    expect(checkedAimd?.refused).toBeGreaterThan(0.01);
    expect(aimd?.refused).toBeGreaterThan(0.4);
  });

  // Guards against calls that are sent in vain to an overloaded upstream, and
  // against a limit that outlasts its cause.
  it('is lowered by rejections above 3 running calls, until they cease', () => {
    const endsAt = 60_000;
    const {checkedAimd, byConcurrency} = figuresOf({
      slots: 8,
      callsPerSecond: 10,
      rejects: (running, _, now) => running >= 3 && now < endsAt,
    });
    expect(byConcurrency?.rejected).toBeLessThan(0.05);
    expect(checkedAimd?.rejected).toBeGreaterThan(0.1);
    const limits = byConcurrency?.limits ?? [];
    const lowered = limits.filter(({now}) => now > 5000 && now < endsAt);
    const atMostFour = lowered.filter(({limit}) => limit <= 4).length;
    expect(atMostFour / lowered.length).toBeGreaterThan(0.9);
    expect(Math.min(...limits.map(({limit}) => limit))).toBe(3);
    const isFull = ({limit}: {readonly limit: number}): boolean => limit === 8;
    const recovery = limits.find((at) => at.now > endsAt && isFull(at));
    expect(recovery?.now).toBeLessThan(endsAt + 3000);
    expect(limits.filter(({now}) => now > endsAt + 3000).every(isFull)).toBe(
      true,
    );
  });
});
