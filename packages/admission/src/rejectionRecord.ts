// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Distinguishes rejections caused by concurrency from others: an overloaded
 * upstream rejects calls that start beside many others, while one that rejects
 * for another reason does so at any concurrency.
 */

/** Time after which a call counts half, in milliseconds. */
export const HALF_LIFE_MILLISECONDS = 2000;

/**
 * Concurrency causes the rejections above a level if it causes at least this
 * share of the calls there to be rejected that would be accepted below. With
 * less, a slot above the level still completes more than half as many calls.
 */
const MINIMUM_EFFECT = 0.5;

interface LevelCounts {
  rejected: number;
  all: number;
}

const NO_CALLS: LevelCounts = {rejected: 0, all: 0};

/** Recent calls by the concurrency at which they were sent. */
export class RejectionRecord {
  /** The counts of each level; a call that runs alone has level 1. */
  private readonly levels: LevelCounts[] = [];
  private countedAt = 0;

  /** Counts a call that was sent as one of so many concurrent ones. */
  count(now: number, level: number, isRejected: boolean): void {
    this.decay(now);
    while (this.levels.length <= level) {
      this.levels.push({...NO_CALLS});
    }
    const counts = this.levels[level] ?? {...NO_CALLS};
    counts.all += 1;
    counts.rejected += isRejected ? 1 : 0;
  }

  /**
   * The level above which concurrency causes rejections; undefined unless that
   * explains the calls better than one probability of rejection at all levels,
   * by at least this logarithm of the likelihood ratio.
   */
  overloadLevel(evidence: number): number | undefined {
    const total = this.levels.reduce(sum, NO_CALLS);
    let low = NO_CALLS;
    let best: number | undefined;
    let bestEvidence = evidence;
    this.levels.forEach((counts, level) => {
      low = sum(low, counts);
      const high = difference(total, low);
      const found = evidenceOf(low, high, total);
      if (low.all > 0 && found >= bestEvidence && effect(low, high)) {
        best = level;
        bestEvidence = found;
      }
    });
    return best;
  }

  private decay(now: number): void {
    const factor = 2 ** ((this.countedAt - now) / HALF_LIFE_MILLISECONDS);
    this.countedAt = now;
    for (const counts of this.levels) {
      counts.rejected *= factor;
      counts.all *= factor;
    }
  }
}

function sum(a: LevelCounts, b: LevelCounts): LevelCounts {
  return {rejected: a.rejected + b.rejected, all: a.all + b.all};
}

function difference(a: LevelCounts, b: LevelCounts): LevelCounts {
  return {
    rejected: Math.max(0, a.rejected - b.rejected),
    all: Math.max(0, a.all - b.all),
  };
}

function shareOf({rejected, all}: LevelCounts): number {
  return all > 0 ? rejected / all : 0;
}

function effect(low: LevelCounts, high: LevelCounts): boolean {
  const below = shareOf(low);
  return shareOf(high) - below >= MINIMUM_EFFECT * (1 - below) && below < 1;
}

/** Logarithm of the likelihood ratio of two probabilities to one. */
function evidenceOf(
  low: LevelCounts,
  high: LevelCounts,
  total: LevelCounts,
): number {
  return logLikelihood(low) + logLikelihood(high) - logLikelihood(total);
}

function logLikelihood({rejected, all}: LevelCounts): number {
  const accepted = all - rejected;
  const term = (part: number): number =>
    part > 0 ? part * Math.log(part / all) : 0;
  return term(rejected) + term(accepted);
}
