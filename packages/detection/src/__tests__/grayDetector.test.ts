// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Evidence that condemns an upstream, and evidence that must not. */

import {describe, expect, it} from 'vitest';
import {seededRandom} from '@lockpin/utils';
import {GrayDetector} from '../grayDetector.js';
import type {CallEvidence} from '../grayDetector.js';
import type {PeerBaseline} from '../peerBaseline.js';
import {DETECTION_SETTINGS} from '../sensitivity.js';
import {WINDOW_MILLISECONDS} from '../slownessTest.js';

const GAP_MILLISECONDS = 50;
const TYPICAL_MILLISECONDS = 25;

function baseline(
  change: Partial<PeerBaseline['calls'][string]> = {},
): PeerBaseline {
  const calls = {
    weight: 100,
    failedShare: 0.002,
    slowShare: 0.02,
    typicalMilliseconds: TYPICAL_MILLISECONDS,
    ...change,
  };
  return {calls: {'*': calls, read: calls, write: calls}, failingCustomers: []};
}

/** Feeds a call every 50 ms; returns the detection time, or undefined. */
function feed(
  detector: GrayDetector,
  calls: number,
  make: (i: number) => Partial<CallEvidence>,
  startAt = 0,
): number | undefined {
  for (let i = 0; i < calls; i += 1) {
    const now = startAt + i * GAP_MILLISECONDS;
    detector.observe(now, {
      route: 'read',
      customer: 'customer',
      failed: false,
      milliseconds: TYPICAL_MILLISECONDS,
      ...make(i),
    });
    detector.closeWindow(now, () => new Map());
    if (detector.verdict(now).condemned) {
      return now - startAt;
    }
  }
  return undefined;
}

function detector(
  change?: Partial<PeerBaseline['calls'][string]>,
): GrayDetector {
  const made = new GrayDetector(DETECTION_SETTINGS.balanced);
  made.setBaseline(baseline(change));
  return made;
}

describe('GrayDetector', () => {
  it('condemns an upstream that fails every call', () => {
    expect(feed(detector(), 40, () => ({failed: true}))).toBeLessThan(1000);
  });

  it('condemns an upstream that fails some calls', () => {
    const random = seededRandom(1);
    const some = () => ({failed: random() < 0.3});
    expect(feed(detector(), 200, some)).toBeLessThan(5000);
  });

  it('condemns an upstream that fails one kind of call only', () => {
    const oneKind = (i: number) =>
      i % 5 === 0 ? {route: 'write', failed: true} : {};
    expect(feed(detector(), 200, oneKind)).toBeDefined();
  });

  it('condemns an upstream that is slow', () => {
    const slow = () => ({milliseconds: TYPICAL_MILLISECONDS * 10});
    expect(feed(detector(), 100, slow)).toBeLessThan(3000);
  });

  it('does not condemn an upstream with occasional pauses', () => {
    const pausing = (i: number) => ({
      milliseconds:
        i % 100 < 4 ? TYPICAL_MILLISECONDS * 10 : TYPICAL_MILLISECONDS,
    });
    expect(feed(detector(), 10_000, pausing)).toBeUndefined();
  });

  it('does not condemn an upstream that fails as often as its peers', () => {
    const random = seededRandom(2);
    const asPeers = () => ({failed: random() < 0.3});
    const among = detector({failedShare: 0.3});
    expect(feed(among, 4000, asPeers)).toBeUndefined();
  });

  it('does not condemn for failures of one customer among several', () => {
    const poisoned = (i: number) =>
      i % 2 === 0 ? {customer: 'poisoned', failed: true} : {customer: 'other'};
    expect(feed(detector(), 1000, poisoned)).toBeUndefined();
  });

  it('ignores a customer whose calls fail on several upstreams', () => {
    const made = new GrayDetector(DETECTION_SETTINGS.balanced);
    made.setBaseline({...baseline(), failingCustomers: ['poisoned']});
    const alone = () => ({customer: 'poisoned', failed: true});
    expect(feed(made, 1000, alone)).toBeUndefined();
  });

  it('condemns an upstream whose calls never end', () => {
    const made = detector();
    let condemnedAt: number | undefined;
    for (let now = 0; now < 5000; now += WINDOW_MILLISECONDS) {
      made.closeWindow(
        now,
        () =>
          new Map([
            ['*', 4],
            ['read', 4],
          ]),
      );
      condemnedAt ??= made.verdict(now).condemned ? now : undefined;
    }
    expect(condemnedAt).toBeLessThan(3000);
  });

  it('does not condemn for a single long call', () => {
    const made = detector();
    for (let now = 0; now < 20_000; now += WINDOW_MILLISECONDS) {
      made.closeWindow(
        now,
        () =>
          new Map([
            ['*', 1],
            ['read', 1],
          ]),
      );
      expect(made.verdict(now).condemned).toBe(false);
    }
  });

  it('discards evidence of slowness when the peer baseline rises', () => {
    const made = detector();
    feed(made, 14, () => ({milliseconds: TYPICAL_MILLISECONDS * 3}));
    expect(made.verdict(700).severity).toBeGreaterThan(0.2);
    made.setBaseline(baseline({typicalMilliseconds: TYPICAL_MILLISECONDS * 3}));
    expect(made.verdict(700).severity).toBe(0);
  });

  it('does not test for slowness without peers to compare with', () => {
    const alone = new GrayDetector(DETECTION_SETTINGS.fast);
    const slow = () => ({milliseconds: 60_000});
    expect(feed(alone, 500, slow)).toBeUndefined();
  });
});
