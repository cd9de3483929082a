// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A call that waits for a slot, and its rank among others. */

/** Calls of one priority that go before others. */
export type Precedence = 'nested' | 'retry' | 'ordinary';

/**
 * Fractions added to a priority. A slot elsewhere waits for a nested call; a
 * retry has lost time on an upstream that failed.
 */
const PRECEDENCE_RANKS: Readonly<Record<Precedence, number>> = {
  nested: 0,
  retry: 0.25,
  ordinary: 0.5,
};

/** A call that waits for a slot. */
export interface WaitingCall {
  readonly id: string;
  readonly customer: string;
  /** Weight of the customer relative to others; 1 by default. */
  readonly weight: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Order among calls of one priority; ordinary when absent. */
  readonly precedence?: Precedence;
  /** Time after which its answer is useless, in milliseconds since 1970. */
  readonly deadline: number;
  /**
   * The call is queued only if its answer is expected by then; the deadline
   * when absent.
   */
  readonly usefulUntil?: number;
  /** It is refused rather than started after this; no limit when absent. */
  readonly startBy?: number;
  /** Its expected duration; the average of the upstream when absent. */
  readonly expectedMilliseconds?: number;
  /** False when the call must not be queued; true when absent. */
  readonly mayWait?: boolean;
}

/** The latest time at which the answer to a waiting call may be expected. */
export function latestAnswerTime({deadline, usefulUntil}: WaitingCall): number {
  return Math.min(deadline, usefulUntil ?? deadline);
}

/** The rank of a call in the queue; the lowest is served first. */
export function queueRank({priority, precedence}: WaitingCall): number {
  return priority + PRECEDENCE_RANKS[precedence ?? 'ordinary'];
}

/** Whether it is too late to start a call at a given time. */
export function isTooLateFor(
  call: WaitingCall,
  startAt: number,
  duration: number,
): boolean {
  const {startBy = Number.POSITIVE_INFINITY} = call;
  return startAt > startBy || startAt + duration > latestAnswerTime(call);
}
