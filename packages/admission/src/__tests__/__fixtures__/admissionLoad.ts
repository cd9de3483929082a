// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Calls of several kinds at the admission of one upstream, on a virtual clock. */

import {seededRandom} from '@lockpin/utils';
import {Admission} from '../../admission.js';
import type {AdmissionOptions, DispatchResult} from '../../admission.js';
import type {WaitingCall} from '../../waitingCall.js';

/** Calls of one kind, in random intervals. */
export interface Stream {
  readonly customer: string;
  readonly priority: number;
  readonly precedence?: WaitingCall['precedence'];
  readonly callsPerSecond: number;
  /** Mean duration; durations are distributed log-normally. */
  readonly workMilliseconds: number;
  readonly goalMilliseconds: number;
}

/** What became of the calls of one stream. */
export interface StreamResult {
  count: number;
  /** Answered within their goal. */
  inTime: number;
  /** From the first arrival to the answer, in milliseconds. */
  readonly latencies: number[];
}

interface Call {
  readonly stream: Stream;
  readonly arrivedAt: number;
  readonly mayComeBack: boolean;
}

const TICK_MILLISECONDS = 50;
const SIGMA = 0.5;

/** A refused call comes back once, after the time that it was told. */
export function runStreams(
  seed: number,
  slots: number,
  streams: readonly Stream[],
  milliseconds: number,
  options: AdmissionOptions = {},
): readonly StreamResult[] {
  const random = seededRandom(seed);
  const admission = new Admission(slots, false, options);
  const results = streams.map(() => ({count: 0, inTime: 0, latencies: []}));
  const calls = new Map<string, Call>();
  let events: {readonly at: number; readonly run: () => void}[] = [];
  let now = 0;
  let serial = 0;
  const after = (delay: number, run: () => void): void => {
    const at = now + delay;
    let index = events.length;
    while (index > 0 && (events[index - 1]?.at ?? 0) < at) {
      index -= 1;
    }
    events.splice(index, 0, {at, run});
  };
  const exponential = (mean: number): number => -Math.log(1 - random()) * mean;
  const duration = (mean: number): number => {
    const normal =
      Math.sqrt(2 * exponential(1)) * Math.cos(2 * Math.PI * random());
    return mean * Math.exp(SIGMA * normal - SIGMA ** 2 / 2);
  };
  const start = (id: string): void => {
    const {stream, arrivedAt} = calls.get(id) as Call;
    const work = duration(stream.workMilliseconds);
    after(work, () => {
      const result = results[streams.indexOf(stream)] as StreamResult;
      result.latencies.push(now - arrivedAt);
      result.inTime += now - arrivedAt <= stream.goalMilliseconds ? 1 : 0;
      apply(admission.finish(now, id, work));
    });
  };
  const refuse = (id: string, delay: number): void => {
    const call = calls.get(id) as Call;
    if (call.mayComeBack) {
      after(delay, () => offer({...call, mayComeBack: false}));
    }
  };
  const apply = ({started, expired}: DispatchResult): void => {
    expired.forEach(({id}) => refuse(id, admission.waitForSlot(now)));
    started.forEach(({id}) => start(id));
  };
  const offer = (call: Call): void => {
    serial += 1;
    const id = String(serial);
    const {stream, arrivedAt} = call;
    const {customer, priority, precedence, goalMilliseconds} = stream;
    calls.set(id, call);
    const decision = admission.offer(now, {
      id,
      customer,
      weight: 1,
      priority,
      precedence,
      deadline: arrivedAt + goalMilliseconds,
      expectedMilliseconds: stream.workMilliseconds,
    });
    if (decision.kind === 'start') {
      start(id);
    } else if (decision.kind === 'refused') {
      refuse(id, decision.retryAfterMilliseconds);
    } else if (decision.displaced !== undefined) {
      refuse(decision.displaced.id, admission.waitForSlot(now));
    }
  };
  const arrive = (stream: Stream, result: StreamResult): void =>
    after(exponential(1000 / stream.callsPerSecond), () => {
      result.count += 1;
      offer({stream, arrivedAt: now, mayComeBack: true});
      arrive(stream, result);
    });
  const tick = (): void => {
    apply(admission.expireAndStart(now));
    after(TICK_MILLISECONDS, tick);
  };
  streams.forEach((stream, i) => arrive(stream, results[i] as StreamResult));
  tick();
  for (let next = events.pop(); next; next = events.pop()) {
    now = next.at;
    if (now > milliseconds) {
      events = [];
      break;
    }
    next.run();
  }
  return results;
}
