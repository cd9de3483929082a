// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Quick doubt about one upstream: a few bad calls in a row keep ordinary work
 * away for a moment, until probes by repeatable calls end well. It complements
 * the sequential tests, which are sure but need many calls.
 */

/** How a call to the upstream ended, as evidence. */
export type CallEvidenceKind =
  | 'well'
  /** The connection broke, or the bytes were no answer to the call. */
  | 'broken'
  /** The upstream's own failure status. */
  | 'error'
  /** It said that it did not run the call although it had a free slot. */
  | 'refused'
  /** It answered, far later than calls of this kind usually take. */
  | 'slow'
  /** It leaves calls unanswered that healthy upstreams would have answered. */
  | 'hanging';

/** Weight of each kind; doubt begins when the decaying sum reaches DOUBT_AT. */
const WEIGHT: Readonly<Record<Exclude<CallEvidenceKind, 'well'>, number>> = {
  broken: 1.5,
  error: 1,
  refused: 1,
  slow: 0.8,
  hanging: 1.5,
};

/**
 * One broken call is enough, or sure signs that it hangs; it takes two of other kinds,
 * or three slow ones.
 */
const DOUBT_AT = 1.5;

/** What a further call leaves of the sum, by how it ended. */
const KEPT_AFTER_BAD = 0.7;
const KEPT_AFTER_GOOD = 0.4;

/**
 * Time in doubt where no probe ends it: upstreams that reset most of their calls do so
 * for longer than a second.
 */
const FIRST_HOLD_MILLISECONDS = 2000;

/** The hold doubles with each strike, up to this. */
const LONGEST_HOLD_MILLISECONDS = 8000;

/** After this long without doubt, the next one is a first one again. */
const FORGIVEN_AFTER_MILLISECONDS = 8000;

/**
 * Time between probes while in doubt, doubled with each that fails: a failed
 * probe costs its caller time and the fleet a retry.
 */
const FIRST_PROBE_MILLISECONDS = 400;

/** The longest time between probes. */
const LONGEST_PROBE_MILLISECONDS = 1000;

/** Probes in a row that must end well. */
const PROBES_TO_CLEAR = 2;

/** The standing of one upstream by its last calls. */
export class Doubt {
  private sum = 0;
  private until = 0;
  private strikes = 0;
  private nextProbeAt = 0;
  private clearedProbes = 0;
  private hasEverAnswered = false;
  private lastCause: CallEvidenceKind | 'none' = 'none';

  /** Whether the upstream has answered a call well since it is known here. */
  get isProven(): boolean {
    return this.hasEverAnswered;
  }

  /** The evidence that last began or renewed doubt. */
  get cause(): CallEvidenceKind | 'none' {
    return this.lastCause;
  }

  /** Whether ordinary work should go elsewhere. */
  isDoubted(now: number): boolean {
    return now < this.until;
  }

  /** Milliseconds until ordinary work may come again. */
  remaining(now: number): number {
    return Math.max(0, this.until - now);
  }

  /** Milliseconds until a repeatable call may find out how the upstream is. */
  untilProbe(now: number): number {
    return Math.max(0, this.nextProbeAt - now);
  }

  /** A repeatable call was sent to find out. */
  probed(now: number): void {
    this.nextProbeAt = now + this.probeInterval();
  }

  /** Takes in one piece of evidence; true when the standing changed. */
  observe(now: number, kind: CallEvidenceKind): boolean {
    const before = this.isDoubted(now);
    if (kind === 'well') {
      this.hasEverAnswered = true;
      this.sum *= KEPT_AFTER_GOOD;
      this.probeEndedWell(now);
    } else {
      this.sum = this.sum * KEPT_AFTER_BAD + WEIGHT[kind];
      this.clearedProbes = 0;
      if (before || this.sum >= DOUBT_AT) {
        this.lastCause = kind;
        this.hold(now);
      }
    }
    return before !== this.isDoubted(now);
  }

  private probeEndedWell(now: number): void {
    if (!this.isDoubted(now)) {
      return;
    }
    this.clearedProbes += 1;
    this.nextProbeAt = now;
    if (this.clearedProbes >= PROBES_TO_CLEAR) {
      this.until = now;
      this.sum = 0;
    }
  }

  private hold(now: number): void {
    if (now - this.until > FORGIVEN_AFTER_MILLISECONDS) {
      this.strikes = 0;
    }
    const length = FIRST_HOLD_MILLISECONDS * 2 ** this.strikes;
    this.until = now + Math.min(LONGEST_HOLD_MILLISECONDS, length);
    this.strikes += 1;
    this.nextProbeAt = now + this.probeInterval();
    this.clearedProbes = 0;
    this.sum = 0;
  }

  private probeInterval(): number {
    const doublings = Math.max(0, this.strikes - 1);
    return Math.min(
      LONGEST_PROBE_MILLISECONDS,
      FIRST_PROBE_MILLISECONDS * 2 ** doublings,
    );
  }
}
