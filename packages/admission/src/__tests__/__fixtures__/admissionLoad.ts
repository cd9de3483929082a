// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Calls of several kinds at the admission of one upstream, on a virtual clock. */

import {seededRandom} from '@lockpin/utils';
import {VirtualClock} from '../../../../tools/src/measure/virtualClock.js';
import {Admission} from '../../admission.js';
import type {
  AdmissionOptions,
  DispatchResult,
} from '../../admissionMessages.js';

/** Calls of one kind, in random intervals. */
export interface Stream {
  readonly customer: string;
  readonly priority: number;
  readonly callsPerSecond: number;
  /** Mean duration; durations are distributed log-normally. */
  readonly workMilliseconds: number;
  readonly goalMilliseconds: number;
}

/** What became of the calls of one stream. */
export interface StreamResult {
  count: number;
  /** From the arrival of each answered call to its answer, in milliseconds. */
  readonly latencies: number[];
}

interface Call extends Pick<StreamResult, 'latencies'> {
  readonly stream: Stream;
  readonly arrivedAt: number;
  /** A refused call is retried once, after its retry-after time. */
  readonly isBack: boolean;
}

const TICK_MILLISECONDS = 50;
const SIGMA = 0.5;

/** Runs all streams for a time. */
export function runStreams(
  seed: number,
  slots: number,
  streams: readonly Stream[],
  milliseconds: number,
  options: AdmissionOptions,
): readonly StreamResult[] {
  const random = seededRandom(seed);
  const admission = new Admission(slots, false, options);
  const calls = new Map<string, Call>();
  const clock = new VirtualClock();
  let serial = 0;
  const exponential = (mean: number): number => -Math.log(1 - random()) * mean;
  const start = (id: string): void => {
    const {stream, arrivedAt, latencies} = calls.get(id) as Call;
    const normal =
      Math.sqrt(2 * exponential(1)) * Math.cos(2 * Math.PI * random());
    const factor = Math.exp(SIGMA * normal - SIGMA ** 2 / 2);
    const work = stream.workMilliseconds * factor;
    clock.schedule(work, () => {
      latencies.push(clock.now - arrivedAt);
      apply(admission.finish(clock.now, id, work));
    });
  };
  const refuse = (id: string, delay: number): void => {
    const call = calls.get(id) as Call;
    if (!call.isBack) {
      clock.schedule(delay, () => offer({...call, isBack: true}));
    }
  };
  const apply = ({started, expired}: DispatchResult): void => {
    expired.forEach(({id}) => refuse(id, admission.waitForSlot(clock.now)));
    started.forEach(({id}) => start(id));
  };
  const offer = (call: Call): void => {
    serial += 1;
    const id = String(serial);
    const {customer, priority, workMilliseconds} = call.stream;
    calls.set(id, call);
    const decision = admission.offer(clock.now, {
      id,
      customer,
      weight: 1,
      priority,
      deadline: call.arrivedAt + call.stream.goalMilliseconds,
      expectedMilliseconds: workMilliseconds,
    });
    if (decision.kind === 'start') {
      start(id);
    } else if (decision.kind === 'refused') {
      refuse(id, decision.retryAfterMilliseconds);
    } else if (decision.displaced !== undefined) {
      refuse(decision.displaced.id, admission.waitForSlot(clock.now));
    }
  };
  const arrive = (stream: Stream, result: StreamResult): void =>
    clock.schedule(exponential(1000 / stream.callsPerSecond), () => {
      result.count += 1;
      const {latencies} = result;
      offer({stream, latencies, arrivedAt: clock.now, isBack: false});
      arrive(stream, result);
    });
  const tick = (): void => {
    apply(admission.expireAndStart(clock.now));
    clock.schedule(TICK_MILLISECONDS, tick);
  };
  const results = streams.map(() => ({count: 0, latencies: []}));
  streams.forEach((stream, i) => arrive(stream, results[i] as StreamResult));
  tick();
  clock.runUntil(milliseconds);
  return results;
}
