// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Measures the detection time of a hanging upstream and the false-alarm rate on
 * a healthy one, as a table for docs/design/decisions.md. Call durations are
 * log-normal with a deviation of 0.7; the upstream has five slots and leaves
 * three of four calls unanswered while it hangs.
 */

import {HangEvidence} from '@lockpin/detection';
import type {RandomSource} from '@lockpin/types';
import {seededRandom} from '@lockpin/utils';

const TYPICAL_MILLISECONDS = 400;
const DEVIATION = 0.7;
const SLOTS = 5;
const HANGING_SHARE = 0.75;
const STEP_MILLISECONDS = 20;
const HEALTHY_MINUTES = 10;
const HANG_START_MILLISECONDS = 5000;
const DETECTION_LIMIT_MILLISECONDS = 8000;
const SEEDS = 200;
const CALLS_PER_SECOND = [2, 6, 12];
const STRENGTHS = [1.2, 2, 3, 3.5, 4];
const MILLISECONDS_PER_MINUTE = 60_000;

interface RunningCall {
  readonly id: string;
  readonly endsAt: number;
}

/** Approximates a normal deviate as the sum of twelve uniform ones. */
function randomNormal(random: RandomSource): number {
  return Array.from({length: 12}, random).reduce((a, b) => a + b, -6);
}

/** Models one upstream under Poisson traffic. */
class ModelUpstream {
  readonly evidence = new HangEvidence();
  lost = 0;
  private running: readonly RunningCall[] = [];
  private nextStartAt = 0;

  constructor(
    private readonly random: RandomSource,
    private readonly callsPerSecond: number,
  ) {}

  step(now: number, hangs: boolean): void {
    for (const {id, endsAt} of this.running) {
      if (endsAt <= now) {
        this.evidence.answered(id);
      }
    }
    this.running = this.running.filter(({endsAt}) => endsAt > now);
    if (now >= this.nextStartAt && this.running.length < SLOTS) {
      this.start(now, hangs && this.random() < HANGING_SHARE);
    }
  }

  private start(now: number, isUnanswered: boolean): void {
    const id = String(now);
    const duration =
      TYPICAL_MILLISECONDS * Math.exp(DEVIATION * randomNormal(this.random));
    const endsAt = isUnanswered ? Number.POSITIVE_INFINITY : now + duration;
    this.evidence.started(now, id, TYPICAL_MILLISECONDS);
    this.running = [...this.running, {id, endsAt}];
    this.lost += isUnanswered ? 1 : 0;
    const meanGap = 1000 / this.callsPerSecond;
    this.nextStartAt = now - meanGap * Math.log(this.random());
  }
}

function falseAlarmsPerMinute(rate: number, strength: number): number {
  const upstream = new ModelUpstream(seededRandom(7), rate);
  let alarms = 0;
  const end = HEALTHY_MINUTES * MILLISECONDS_PER_MINUTE;
  for (let now = 0; now < end; now += STEP_MILLISECONDS) {
    upstream.step(now, false);
    if (upstream.evidence.strength(now) >= strength) {
      alarms += 1;
      upstream.evidence.reset();
    }
  }
  return alarms / HEALTHY_MINUTES;
}

interface Detection {
  readonly milliseconds: number;
  readonly lost: number;
}

function measureDetection(
  seed: number,
  rate: number,
  strength: number,
): Detection {
  const upstream = new ModelUpstream(seededRandom(seed), rate);
  let now = 0;
  for (
    ;
    now < HANG_START_MILLISECONDS + DETECTION_LIMIT_MILLISECONDS;
    now += STEP_MILLISECONDS
  ) {
    upstream.step(now, now >= HANG_START_MILLISECONDS);
    const isDetected = upstream.evidence.strength(now) >= strength;
    if (now >= HANG_START_MILLISECONDS && isDetected) {
      break;
    }
  }
  return {milliseconds: now - HANG_START_MILLISECONDS, lost: upstream.lost};
}

function tableRow(rate: number, strength: number): string {
  const detections = Array.from({length: SEEDS}, (_, i) =>
    measureDetection(100 + i, rate, strength),
  );
  const times = detections.map(({milliseconds}) => milliseconds);
  times.sort((a, b) => a - b);
  const lost = detections.reduce((sum, item) => sum + item.lost, 0) / SEEDS;
  const alarms = falseAlarmsPerMinute(rate, strength);
  const [p50, p90] = [times[SEEDS * 0.5] ?? 0, times[SEEDS * 0.9] ?? 0];
  return `| ${rate} | ${strength} | ${p50} ms, ${p90} ms | ${lost.toFixed(1)} | ${alarms.toFixed(1)} |\n`;
}

process.stdout.write(
  '| calls a second | strength | detected p50, p90 | calls lost to an episode | false alarms a minute |\n| --- | --- | --- | --- | --- |\n',
);
for (const rate of CALLS_PER_SECOND) {
  for (const strength of STRENGTHS) {
    process.stdout.write(tableRow(rate, strength));
  }
}
