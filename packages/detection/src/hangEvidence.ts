// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Detects from unanswered calls whether an upstream has begun to hang. A
 * timeout for a single call has to be several times the usual duration, since
 * some calls to a healthy upstream take long. Several late calls are stronger
 * evidence than one, and answers to calls that began later are evidence against
 * a hang. The sequential test takes the calls in the order in which they began:
 * its score is the largest sum of log likelihood ratios over any suffix of
 * them.
 */

/** Share of calls that a hanging upstream leaves unanswered. */
const HANGING_SHARE = 0.6;

/**
 * Shape of the log-logistic distribution of durations, which is close to a
 * log-normal distribution with a standard deviation of 0.7.
 */
const DURATION_SHAPE = 2.4;

/**
 * Allowance for scheduling delays, which are no evidence about the upstream, in
 * milliseconds.
 */
const ALLOWANCE_MILLISECONDS = 40;

/** Number of latest calls kept; older evidence has been superseded. */
const MAXIMUM_CALLS = 32;

/** Upper limit of the evidence from one call, which may just be an outlier. */
const MAXIMUM_EVIDENCE_PER_CALL = 2.5;

/** Log likelihood ratio of an answer, which is less likely during a hang. */
const ANSWER_LOG_RATIO = Math.log(1 - HANGING_SHARE);

interface TrackedCall {
  readonly id: string;
  readonly startedAt: number;
  /** Usual duration in milliseconds; undefined if unknown. */
  readonly usual: number | undefined;
  isAnswered: boolean;
}

/** Tracks the latest calls to one upstream. */
export class HangEvidence {
  private calls: TrackedCall[] = [];

  /** Records that a call was sent to the upstream. */
  started(now: number, id: string, usual: number | undefined): void {
    this.calls.push({id, startedAt: now, usual, isAnswered: false});
    if (this.calls.length > MAXIMUM_CALLS) {
      this.calls.shift();
    }
  }

  /** Records that the upstream answered a call, whatever the status. */
  answered(id: string): void {
    const call = this.calls.find((known) => known.id === id);
    if (call !== undefined) {
      call.isAnswered = true;
    }
  }

  /** Drops a call that ended without evidence about the upstream. */
  forget(id: string): void {
    this.calls = this.calls.filter((known) => known.id !== id);
  }

  /** Discards the evidence so far, once it has been acted upon. */
  reset(): void {
    this.calls = [];
  }

  /**
   * Log likelihood ratio of the observations between a hanging and a healthy
   * upstream. The number of late calls given as explained is left out, those
   * with the strongest evidence first.
   */
  strength(now: number, explained = 0): number {
    if (this.calls.every(({isAnswered}) => isAnswered)) {
      return 0;
    }
    const ratios = this.calls.map((call) => logLikelihoodRatio(now, call));
    let sum = 0;
    let maximum = 0;
    for (const ratio of withoutStrongest(ratios, explained).reverse()) {
      sum += ratio;
      maximum = Math.max(maximum, sum);
    }
    return maximum;
  }
}

/** Sets the largest positive ratios to zero, as many as given by count. */
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

function logLikelihoodRatio(
  now: number,
  {isAnswered, startedAt, usual}: TrackedCall,
): number {
  if (isAnswered) {
    return ANSWER_LOG_RATIO;
  }
  const age = now - startedAt - ALLOWANCE_MILLISECONDS;
  if (usual === undefined || age <= 0) {
    return 0;
  }
  const unanswered = 1 / (1 + (age / usual) ** DURATION_SHAPE);
  const whenHanging = HANGING_SHARE + (1 - HANGING_SHARE) * unanswered;
  return Math.min(
    MAXIMUM_EVIDENCE_PER_CALL,
    Math.log(whenHanging / unanswered),
  );
}
