// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Detection time for hangs, and the rate of false alarms. */

import {describe, expect, it} from 'vitest';
import {seededRandom} from '@lockpin/utils';
import {HangEvidence} from '../hangEvidence.js';

const USUAL_MILLISECONDS = 400;
const CALLS_PER_SECOND = 6;

/** A standard normal variate, as the sum of twelve uniform ones. */
function standardNormal(random: () => number): number {
  return Array.from({length: 12}, random).reduce((a, b) => a + b, -6);
}

/** Log-normal durations of a healthy upstream, with a deviation of 0.7. */
function duration(random: () => number): number {
  return USUAL_MILLISECONDS * Math.exp(0.7 * standardNormal(random));
}

/** Share of the time in which a healthy upstream exceeds the threshold. */
function falseAlarmShare(threshold: number): number {
  const random = seededRandom(7);
  const evidence = new HangEvidence();
  const ends: {id: string; at: number}[] = [];
  let alarms = 0;
  let samples = 0;
  let nextStart = 0;
  for (let now = 0; now < 600_000; now += 20) {
    for (const {id} of ends.filter(({at}) => at <= now)) {
      evidence.answered(id);
    }
    ends.splice(0, ends.length, ...ends.filter(({at}) => at > now));
    if (now >= nextStart && ends.length < 5) {
      const id = String(now);
      evidence.started(now, id, USUAL_MILLISECONDS);
      ends.push({id, at: now + duration(random)});
      nextStart = now - (1000 / CALLS_PER_SECOND) * Math.log(random());
    }
    samples += 1;
    alarms += evidence.strength(now) >= threshold ? 1 : 0;
  }
  return alarms / samples;
}

describe('HangEvidence', () => {
  it('is zero for answered calls and for calls of unknown duration', () => {
    const evidence = new HangEvidence();
    evidence.started(0, '1', USUAL_MILLISECONDS);
    evidence.answered('1');
    evidence.started(0, '2', undefined);
    expect(evidence.strength(10_000)).toBe(0);
  });

  it('grows sooner with several late calls than with one', () => {
    const [one, three] = [new HangEvidence(), new HangEvidence()];
    one.started(0, '1', USUAL_MILLISECONDS);
    ['1', '2', '3'].forEach((id) => three.started(0, id, USUAL_MILLISECONDS));
    expect(three.strength(700)).toBeGreaterThan(3);
    expect(one.strength(700)).toBeLessThan(1.5);
    expect(one.strength(60_000)).toBeLessThan(3);
  });

  it('decreases with answers to calls that began later', () => {
    const evidence = new HangEvidence();
    evidence.started(0, 'late', USUAL_MILLISECONDS);
    evidence.started(500, 'one', USUAL_MILLISECONDS);
    const before = evidence.strength(1000);
    evidence.answered('one');
    expect(evidence.strength(1000)).toBeLessThan(before);
  });

  it('is zero after a reset or when its calls are forgotten', () => {
    const evidence = new HangEvidence();
    evidence.started(0, '1', USUAL_MILLISECONDS);
    evidence.forget('1');
    expect(evidence.strength(5000)).toBe(0);
    evidence.started(0, '2', USUAL_MILLISECONDS);
    evidence.reset();
    expect(evidence.strength(5000)).toBe(0);
  });

  it('rarely exceeds the thresholds for a healthy upstream', () => {
    expect(falseAlarmShare(1.2)).toBeLessThan(0.12);
    expect(falseAlarmShare(3.5)).toBeLessThan(0.01);
  });
});
