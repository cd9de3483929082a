// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** False-alarm rate of the detector alone, over many days of healthy calls. */

import {DETECTION_SETTINGS, GrayDetector} from '@lockpin/detection';
import type {PeerBaseline} from '@lockpin/detection';
import {seededRandom} from '@lockpin/utils';
import type {Sensitivity} from '@lockpin/types';
import {createConsecutiveErrorsDetector} from './baselines.js';
import {TRAFFIC} from './scenarios.js';
import {UpstreamModel} from './upstreamModel.js';

/** Calls and false alarms of one healthy upstream over a number of days. */
export interface FalseAlarmResult {
  readonly days: number;
  readonly calls: number;
  readonly lockpin: number;
  readonly fiveInARow: number;
}

const DAY_MILLISECONDS = 86_400_000;
const NO_OVERDUE_CALLS = (): ReadonlyMap<string, number> => new Map();

/** Peer baseline: shares of slow and failed calls of healthy upstreams. */
const HEALTHY_PEERS: PeerBaseline = {
  calls: Object.fromEntries(
    ['*', 'read'].map((kind) => [
      kind,
      {
        weight: 100,
        failedShare: TRAFFIC.errorShare,
        slowShare: 0.02,
        typicalMilliseconds: TRAFFIC.medianMilliseconds,
      },
    ]),
  ),
  failingCustomers: [],
};

/** Feeds healthy calls to one detector and counts its false condemnations. */
export function countFalseAlarms(
  sensitivity: Sensitivity,
  callsPerSecond: number,
  days: number,
  seed: number,
): FalseAlarmResult {
  const random = seededRandom(seed);
  const model = new UpstreamModel(random);
  const detector = new GrayDetector(DETECTION_SETTINGS[sensitivity]);
  detector.setBaseline(HEALTHY_PEERS);
  const fiveInARow = createConsecutiveErrorsDetector();
  const end = days * DAY_MILLISECONDS;
  let lockpin = 0;
  let baseline = 0;
  let calls = 0;
  for (let now = 0; now < end;) {
    now += (-Math.log(1 - random()) / callsPerSecond) * 1000;
    const {milliseconds, status} = model.answer(now, {kind: 'none'}, 0);
    const failed = status !== 200;
    calls += 1;
    detector.observe(now, {
      route: 'read',
      customer: 'customer',
      failed,
      milliseconds,
    });
    baseline += fiveInARow.observe(now, 0, failed) ? 1 : 0;
    detector.closeWindow(now, NO_OVERDUE_CALLS);
    if (detector.verdict(now).condemned) {
      lockpin += 1;
      detector.reset();
    }
  }
  return {days, calls, lockpin, fiveInARow: baseline};
}
