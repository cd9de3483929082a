// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Short-term doubt about one upstream, much like a circuit breaker: a few bad
 * calls in a row divert ordinary calls until probes by repeatable calls
 * succeed. It complements the sequential tests, which are reliable but need
 * many calls.
 */

/** The outcome of a call to the upstream, as evidence. */
export type CallEvidenceKind =
  | 'well'
  /** The connection broke, or the received bytes were not a valid answer. */
  | 'broken'
  /** The upstream answered with a failure status. */
  | 'error'
  /** The upstream refused to run the call although it had a free slot. */
  | 'refused'
  /** The answer took far longer than is usual for this kind of call. */
  | 'slow'
  /** Calls are unanswered that a healthy upstream would have answered. */
  | 'hanging';

/** Weight of each kind in the decaying score. */
const WEIGHTS: Readonly<Record<Exclude<CallEvidenceKind, 'well'>, number>> = {
  broken: 1.5,
  error: 1,
  refused: 1,
  slow: 0.8,
  hanging: 1.5,
};

/**
 * Score at which doubt begins. One broken call or strong evidence of hanging is
 * enough; it takes two calls of the other kinds, or three slow ones.
 */
const DOUBT_THRESHOLD = 1.5;

/** Factors by which the score decays with each further call. */
const DECAY_AFTER_BAD = 0.7;
const DECAY_AFTER_GOOD = 0.4;

/**
 * Duration of doubt unless probes end it earlier. Upstreams that reset most of
 * their calls do so for longer than a second.
 */
const INITIAL_HOLD_MILLISECONDS = 2000;

/**
 * The duration doubles with each consecutive hold, up to this limit. A healthy
 * upstream without probes stays idle for up to this long.
 */
const MAXIMUM_HOLD_MILLISECONDS = 4000;

/** After this long without doubt, the duration starts at the initial value. */
const HOLD_RESET_MILLISECONDS = 8000;

/**
 * Time between probes while in doubt. It doubles with each failed probe, since
 * a failed probe costs its caller time and the fleet a retry.
 */
const INITIAL_PROBE_INTERVAL_MILLISECONDS = 400;

const MAXIMUM_PROBE_INTERVAL_MILLISECONDS = 1000;

/** Consecutive successful probes that end doubt. */
const PROBES_TO_CLEAR = 2;

/** Tracks whether one upstream is doubted, from the outcome of recent calls. */
export class Doubt {
  private score = 0;
  private doubtedUntil = 0;
  /** When doubt last began or was renewed. */
  private heldAt = Number.NEGATIVE_INFINITY;
  private consecutiveHolds = 0;
  private nextProbeAt = 0;
  private successfulProbes = 0;
  private hasAnswered = false;
  private lastCause: CallEvidenceKind | 'none' = 'none';

  /**
   * Whether any call to the upstream has succeeded since it became known, or
   * since it was last doubted.
   */
  get isProven(): boolean {
    return this.hasAnswered;
  }

  /** The evidence that last began or renewed doubt. */
  get cause(): CallEvidenceKind | 'none' {
    return this.lastCause;
  }

  /** Whether ordinary calls should be routed to other upstreams. */
  isDoubted(now: number): boolean {
    return now < this.doubtedUntil;
  }

  /** Milliseconds until ordinary calls are accepted again. */
  remaining(now: number): number {
    return Math.max(0, this.doubtedUntil - now);
  }

  /** Milliseconds until a repeatable call may probe the upstream. */
  millisecondsUntilProbe(now: number): number {
    return Math.max(0, this.nextProbeAt - now);
  }

  /** Records that a repeatable call was sent as a probe. */
  recordProbe(now: number): void {
    this.nextProbeAt = now + this.probeInterval();
  }

  /**
   * Records the outcome of a call; true when doubt began or ended. Failures of
   * calls that started before doubt began are of the same event, and do not
   * renew it.
   */
  observe(now: number, kind: CallEvidenceKind, startedAt = now): boolean {
    const before = this.isDoubted(now);
    if (kind === 'well') {
      this.hasAnswered = true;
      this.score *= DECAY_AFTER_GOOD;
      this.recordSuccessfulProbe(now);
    } else if (startedAt >= this.heldAt) {
      this.score = this.score * DECAY_AFTER_BAD + WEIGHTS[kind];
      this.successfulProbes = 0;
      if (before || this.score >= DOUBT_THRESHOLD) {
        this.lastCause = kind;
        this.hold(now);
      }
    }
    return before !== this.isDoubted(now);
  }

  /** Ends doubt because its cause no longer counts. */
  end(now: number): void {
    this.doubtedUntil = Math.min(this.doubtedUntil, now);
    this.score = 0;
  }

  private recordSuccessfulProbe(now: number): void {
    if (!this.isDoubted(now)) {
      return;
    }
    this.successfulProbes += 1;
    this.nextProbeAt = now;
    if (this.successfulProbes >= PROBES_TO_CLEAR) {
      this.doubtedUntil = now;
      this.score = 0;
    }
  }

  private hold(now: number): void {
    if (now - this.doubtedUntil > HOLD_RESET_MILLISECONDS) {
      this.consecutiveHolds = 0;
    }
    const length = INITIAL_HOLD_MILLISECONDS * 2 ** this.consecutiveHolds;
    this.doubtedUntil = now + Math.min(MAXIMUM_HOLD_MILLISECONDS, length);
    this.heldAt = now;
    this.hasAnswered = false;
    this.consecutiveHolds += 1;
    this.nextProbeAt = now + this.probeInterval();
    this.successfulProbes = 0;
    this.score = 0;
  }

  private probeInterval(): number {
    const doublings = Math.max(0, this.consecutiveHolds - 1);
    return Math.min(
      MAXIMUM_PROBE_INTERVAL_MILLISECONDS,
      INITIAL_PROBE_INTERVAL_MILLISECONDS * 2 ** doublings,
    );
  }
}
