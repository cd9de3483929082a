// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Whether an upstream has begun to hang, from the calls that it has not answered.
 * A limit on the time of one call has to be several times what is usual, since some
 * calls of a healthy upstream take long. Several calls that all are late say more
 * than one, and answers to calls that began later speak against it. This is a
 * sequential test over the calls in the order in which they began: the largest sum of
 * log likelihood ratios over any last part of them.
 */

/** Share of the calls that an upstream leaves unanswered while it hangs. */
const HANGING_SHARE = 0.6;

/**
 * Shape of the log-logistic distribution of durations, near a log-normal one with a
 * deviation of 0.7.
 */
const DURATION_SHAPE = 2.4;

/** Scheduling delays that say nothing of the upstream, in milliseconds. */
const ALLOWANCE_MILLISECONDS = 40;

/** Calls remembered; evidence older than these has been superseded. */
const MOST_CALLS = 32;

/** How much one call can say: it may simply be an unusual one. */
const MOST_OF_ONE_CALL = 2.5;

/** An answer is this much less likely from an upstream that hangs. */
const OF_AN_ANSWER = Math.log(1 - HANGING_SHARE);

interface TrackedCall {
  readonly id: string;
  readonly startedAt: number;
  /** What is usual for its kind; undefined when not known. */
  readonly usual: number | undefined;
  isAnswered: boolean;
}

/** Keeps the last calls of one upstream. */
export class HangEvidence {
  private calls: TrackedCall[] = [];

  /** A call was sent to the upstream. */
  started(now: number, id: string, usual: number | undefined): void {
    this.calls.push({id, startedAt: now, usual, isAnswered: false});
    if (this.calls.length > MOST_CALLS) {
      this.calls.shift();
    }
  }

  /** The upstream answered a call, whatever it said. */
  answered(id: string): void {
    const call = this.calls.find((known) => known.id === id);
    if (call !== undefined) {
      call.isAnswered = true;
    }
  }

  /** A call ended without an answer that says anything of the upstream. */
  forget(id: string): void {
    this.calls = this.calls.filter((known) => known.id !== id);
  }

  /** What was seen so far has been acted upon; only what begins now counts. */
  reset(): void {
    this.calls = [];
  }

  /**
   * Log of how much likelier what was seen is from an upstream that hangs. So many of
   * the calls may be late for a reason that is known: those that say most count for
   * nothing then.
   */
  strength(now: number, explained = 0): number {
    if (this.calls.every(({isAnswered}) => isAnswered)) {
      return 0;
    }
    const ratios = this.calls.map((call) => ratioOf(now, call));
    let sum = 0;
    let most = 0;
    for (const ratio of withoutStrongest(ratios, explained).reverse()) {
      sum += ratio;
      most = Math.max(most, sum);
    }
    return most;
  }
}

/** Takes out what so many of the late calls say, from those that say most. */
function withoutStrongest(ratios: readonly number[], count: number): number[] {
  const late = ratios
    .map((ratio, i) => ({ratio, i}))
    .filter(({ratio}) => ratio > 0)
    .sort((a, b) => b.ratio - a.ratio)
    .slice(0, count);
  const left = [...ratios];
  late.forEach(({i}) => (left[i] = 0));
  return left;
}

function ratioOf(
  now: number,
  {isAnswered, startedAt, usual}: TrackedCall,
): number {
  if (isAnswered) {
    return OF_AN_ANSWER;
  }
  const age = now - startedAt - ALLOWANCE_MILLISECONDS;
  if (usual === undefined || age <= 0) {
    return 0;
  }
  const unanswered = 1 / (1 + (age / usual) ** DURATION_SHAPE);
  const whenHanging = HANGING_SHARE + (1 - HANGING_SHARE) * unanswered;
  return Math.min(MOST_OF_ONE_CALL, Math.log(whenHanging / unanswered));
}
