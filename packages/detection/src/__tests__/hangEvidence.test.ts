// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How soon hanging shows, and how rarely a healthy upstream looks like it. */

import {describe, expect, it} from 'vitest';
import {seededRandom} from '@lockpin/utils';
import {HangEvidence} from '../hangEvidence.js';

const USUAL = 400;
const CALLS_PER_SECOND = 6;

/** A normal deviate by the sum of twelve uniform ones. */
function normal(random: () => number): number {
  return Array.from({length: 12}, random).reduce((a, b) => a + b, -6);
}

/** Durations of a healthy upstream, log-normal with a deviation of 0.7. */
function duration(random: () => number): number {
  return USUAL * Math.exp(0.7 * normal(random));
}

/** Share of the time in which a healthy upstream looks like one that hangs. */
function falseShare(threshold: number): number {
  const random = seededRandom(7);
  const evidence = new HangEvidence();
  const ends: {id: string; at: number}[] = [];
  let alarms = 0;
  let looks = 0;
  let nextStart = 0;
  for (let now = 0; now < 600_000; now += 20) {
    for (const {id} of ends.filter(({at}) => at <= now)) {
      evidence.answered(id);
    }
    ends.splice(0, ends.length, ...ends.filter(({at}) => at > now));
    if (now >= nextStart && ends.length < 5) {
      const id = String(now);
      evidence.started(now, id, USUAL);
      ends.push({id, at: now + duration(random)});
      nextStart = now - (1000 / CALLS_PER_SECOND) * Math.log(random());
    }
    looks += 1;
    alarms += evidence.strength(now) >= threshold ? 1 : 0;
  }
  return alarms / looks;
}

describe('the evidence of hanging', () => {
  it('is none while calls are answered, and none for a kind not known', () => {
    const evidence = new HangEvidence();
    evidence.started(0, '1', USUAL);
    evidence.answered('1');
    evidence.started(0, '2', undefined);
    expect(evidence.strength(10_000)).toBe(0);
  });

  it('grows sooner where several calls are late than where one is', () => {
    const [one, three] = [new HangEvidence(), new HangEvidence()];
    one.started(0, '1', USUAL);
    ['1', '2', '3'].forEach((id) => three.started(0, id, USUAL));
    expect(three.strength(700)).toBeGreaterThan(3);
    expect(one.strength(700)).toBeLessThan(1.5);
    expect(one.strength(60_000)).toBeLessThan(3);
  });

  it('shrinks with answers to calls that began later', () => {
    const evidence = new HangEvidence();
    evidence.started(0, 'late', USUAL);
    evidence.started(500, 'one', USUAL);
    const before = evidence.strength(1000);
    evidence.answered('one');
    expect(evidence.strength(1000)).toBeLessThan(before);
  });

  it('is gone once it was acted upon or its calls are forgotten', () => {
    const evidence = new HangEvidence();
    evidence.started(0, '1', USUAL);
    evidence.forget('1');
    expect(evidence.strength(5000)).toBe(0);
    evidence.started(0, '2', USUAL);
    evidence.reset();
    expect(evidence.strength(5000)).toBe(0);
  });

  it('rarely misleads where an upstream is healthy', () => {
    expect(falseShare(1.2)).toBeLessThan(0.12);
    expect(falseShare(3.5)).toBeLessThan(0.01);
  });
});
