// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Models duration and outcome of calls on an upstream. */

import type {RandomSource} from '@lockpin/types';
import type {Fault} from './scenarios.js';
import {TRAFFIC} from './scenarios.js';

/** Duration and status of one call. */
export interface ModelledAnswer {
  readonly milliseconds: number;
  /** Undefined if the answer never arrives. */
  readonly status: number | undefined;
}

/** Models one upstream; pauses delay its concurrent calls together. */
export class UpstreamModel {
  private pausedUntil = 0;
  private nextPauseAt: number;

  constructor(private readonly random: RandomSource) {
    this.nextPauseAt = this.randomPauseGap();
  }

  /** Computes the answer to a call at `now` under a fault since `faultSince`. */
  answer(now: number, fault: Fault, faultSince: number): ModelledAnswer {
    const isFaulty = isFaultActive(fault, now - faultSince);
    const factor = slowdownFactor(fault, isFaulty);
    const milliseconds =
      this.remainingPause(now) + factor * logNormal(this.random);
    if (fault.kind === 'cut' && isFaulty) {
      return {milliseconds, status: undefined};
    }
    const errorShare = isFaulty ? errorShareOf(fault) : TRAFFIC.errorShare;
    const failed = this.random() < errorShare;
    return {milliseconds, status: failed ? 500 : 200};
  }

  private remainingPause(now: number): number {
    while (now >= this.nextPauseAt) {
      const length = TRAFFIC.pauseMilliseconds * (0.5 + this.random());
      this.pausedUntil = this.nextPauseAt + length;
      this.nextPauseAt += length + this.randomPauseGap();
    }
    return Math.max(0, this.pausedUntil - now);
  }

  private randomPauseGap(): number {
    return (-Math.log(1 - this.random()) / TRAFFIC.pausesPerSecond) * 1000;
  }
}

function isFaultActive(fault: Fault, age: number): boolean {
  if (age < 0 || fault.kind === 'none') {
    return false;
  }
  return (
    fault.kind !== 'flapping' || Math.floor(age / fault.milliseconds) % 2 === 0
  );
}

function slowdownFactor(fault: Fault, isFaulty: boolean): number {
  const isSlow = fault.kind === 'slow' || fault.kind === 'shared-slowness';
  return isSlow && isFaulty ? fault.factor : 1;
}

function errorShareOf(fault: Fault): number {
  switch (fault.kind) {
    case 'errors':
      return fault.share;
    case 'flapping':
    case 'outage':
      return 1;
    default:
      return TRAFFIC.errorShare;
  }
}

/** Draws a log-normal duration by the Box–Muller transform. */
function logNormal(random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  const normal = radius * Math.cos(2 * Math.PI * random());
  return TRAFFIC.medianMilliseconds * Math.exp(TRAFFIC.logDeviation * normal);
}
