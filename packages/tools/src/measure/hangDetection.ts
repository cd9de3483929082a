// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * How soon hanging shows in the evidence of one upstream, and how often a healthy one
 * looks like it: a table for docs/design/decisions.md. Durations are log-normal with a
 * deviation of 0.7; the upstream has five slots and leaves three of four calls
 * unanswered while it hangs.
 */

import {HangEvidence} from '@lockpin/detection';
import type {RandomSource} from '@lockpin/types';
import {seededRandom} from '@lockpin/utils';

const USUAL_MILLISECONDS = 400;
const DEVIATION = 0.7;
const SLOTS = 5;
const HANGING_SHARE = 0.75;
const STEP_MILLISECONDS = 20;
const HEALTHY_MINUTES = 10;
const HANG_STARTS_AT = 5000;
const GIVEN_UP_AFTER = 8000;
const SEEDS = 200;
const CALLS_PER_SECOND = [2, 6, 12];
const STRENGTHS = [1.2, 2, 3, 3.5, 4];
const MILLISECONDS_PER_MINUTE = 60_000;

interface RunningCall {
  readonly id: string;
  readonly endsAt: number;
}

/** A normal deviate by the sum of twelve uniform ones. */
function normal(random: RandomSource): number {
  return Array.from({length: 12}, random).reduce((a, b) => a + b, -6);
}

/** One upstream under Poisson traffic. */
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

  private start(now: number, isLost: boolean): void {
    const id = String(now);
    const duration =
      USUAL_MILLISECONDS * Math.exp(DEVIATION * normal(this.random));
    const endsAt = isLost ? Number.POSITIVE_INFINITY : now + duration;
    this.evidence.started(now, id, USUAL_MILLISECONDS);
    this.running = [...this.running, {id, endsAt}];
    this.lost += isLost ? 1 : 0;
    const pause = 1000 / this.callsPerSecond;
    this.nextStartAt = now - pause * Math.log(this.random());
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

function detection(seed: number, rate: number, strength: number): Detection {
  const upstream = new ModelUpstream(seededRandom(seed), rate);
  let now = 0;
  for (; now < HANG_STARTS_AT + GIVEN_UP_AFTER; now += STEP_MILLISECONDS) {
    upstream.step(now, now >= HANG_STARTS_AT);
    const isSeen = upstream.evidence.strength(now) >= strength;
    if (now >= HANG_STARTS_AT && isSeen) {
      break;
    }
  }
  return {milliseconds: now - HANG_STARTS_AT, lost: upstream.lost};
}

function row(rate: number, strength: number): string {
  const found = Array.from({length: SEEDS}, (_, i) =>
    detection(100 + i, rate, strength),
  );
  const times = found.map(({milliseconds}) => milliseconds);
  times.sort((a, b) => a - b);
  const lost = found.reduce((sum, item) => sum + item.lost, 0) / SEEDS;
  const alarms = falseAlarmsPerMinute(rate, strength);
  const [p50, p90] = [times[SEEDS * 0.5] ?? 0, times[SEEDS * 0.9] ?? 0];
  return `| ${rate} | ${strength} | ${p50} ms, ${p90} ms | ${lost.toFixed(1)} | ${alarms.toFixed(1)} |\n`;
}

process.stdout.write(
  '| calls a second | strength | detected p50, p90 | calls lost to an episode | false alarms a minute |\n| --- | --- | --- | --- | --- |\n',
);
for (const rate of CALLS_PER_SECOND) {
  for (const strength of STRENGTHS) {
    process.stdout.write(row(rate, strength));
  }
}
