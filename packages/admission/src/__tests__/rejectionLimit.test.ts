// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Limits of concurrent calls where upstreams reject calls for any reason. */

import {describe, expect, it} from 'vitest';
import {seededRandom} from '@lockpin/utils';
import {AdaptiveLimit} from '../adaptiveLimit.js';
import {Admission} from '../admission.js';
import type {CreateConcurrencyLimit} from '../concurrencyLimit.js';
import {RejectionLimit} from '../rejectionLimit.js';

const WORK_MILLISECONDS = 500;
const STEP_MILLISECONDS = 5;
const END = 120_000;

/** AIMD on all rejections: 30% less at each. */
class RejectionAimd extends AdaptiveLimit {
  override rejected(now: number, callId: string): void {
    this.shed(now, callId, now);
  }
}

const aimd: CreateConcurrencyLimit = (...of) => new RejectionAimd(...of);
const byConcurrency: CreateConcurrencyLimit = (...of) =>
  new RejectionLimit(...of);

/** Whether an upstream rejects a call beside so many running ones. */
type Rejects = (running: number, random: number, now: number) => boolean;

/** Plays calls that do not wait; the upstream rejects them after one step. */
function play(
  create: CreateConcurrencyLimit,
  [slots, callsPerSecond, rejects]: [number, number, Rejects],
) {
  const random = seededRandom(1);
  const admission = new Admission(slots, false, {createLimit: create});
  const limits: {now: number; limit: number}[] = [];
  const running = new Map<string, {endsAt: number; isRejected: boolean}>();
  let calls = 0;
  let refused = 0;
  let rejected = 0;
  for (let now = 0; now < END; now += STEP_MILLISECONDS) {
    for (const [id, {endsAt, isRejected}] of running) {
      if (endsAt <= now) {
        running.delete(id);
        rejected += isRejected ? 1 : 0;
        if (isRejected) {
          admission.limit.rejected(now, id);
        } else {
          admission.limit.accepted(now, id, true);
        }
        admission.finish(now, id, undefined);
      }
    }
    if (random() < (callsPerSecond * STEP_MILLISECONDS) / 1000) {
      const id = `${(calls += 1)}`;
      const call = {id, customer: 'c', weight: 1, priority: 1, deadline: END};
      const {kind} = admission.offer(now, {...call, mayWait: false});
      refused += kind === 'start' ? 0 : 1;
      if (kind === 'start') {
        const isRejected = rejects(running.size, random(), now);
        const work = -Math.log(1 - random()) * WORK_MILLISECONDS;
        running.set(id, {endsAt: isRejected ? now : now + work, isRejected});
        admission.limit.sent(id);
      }
    }
    limits.push({now, limit: admission.currentLimit});
  }
  return {refused: refused / calls, rejected: rejected / calls, limits};
}

describe('the limit of an upstream', () => {
  // Guards against refusing calls that the upstream would run.
  it.each([
    [11, 10, 0.55],
    [8, 6, 0.5],
  ])(
    'of %i slots is not lowered by random rejections',
    (slots, rate, share) => {
      const rejects: Rejects = (_, random) => random < share;
      expect(play(byConcurrency, [slots, rate, rejects]).refused).toBeLessThan(
        0.05,
      );
      expect(play(aimd, [slots, rate, rejects]).refused).toBeGreaterThan(0.4);
    },
  );

  // Guards against calls that are sent in vain to an overloaded upstream, and
  // against a limit that outlasts its cause.
  it('is lowered by rejections above 3 running calls, until they cease', () => {
    const until = 60_000;
    const rejects: Rejects = (running, _, now) => running >= 3 && now < until;
    const {limits, rejected} = play(byConcurrency, [8, 10, rejects]);
    expect(rejected).toBeLessThan(play(aimd, [8, 10, rejects]).rejected);
    const lowered = limits.filter(({now}) => now > 5000 && now < until);
    const mean =
      lowered.reduce((sum, {limit}) => sum + limit, 0) / lowered.length;
    expect(mean).toBeLessThan(4);
    expect(Math.min(...limits.map(({limit}) => limit))).toBe(3);
    const after = limits.filter(({now}) => now > until + 3000);
    expect(after.every(({limit}) => limit === 8)).toBe(true);
  });
});
