// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Keeps the calls to one upstream within the limit that it states. */

/**
 * Time whose calls may start at once after a pause. Shorter bursts would leave
 * part of the limit unused, since calls do not arrive evenly.
 */
const BURST_MILLISECONDS = 1000;

/**
 * The rate never falls below this, in calls per second: only an answer can show
 * that a limit has ended, and a healthy upstream has to be in use again within
 * 6 s.
 */
const MINIMUM_CALLS_PER_SECOND = 0.2;

/**
 * Refused calls are spread over this time at most. Entries that stay away for
 * longer would not notice in time that a limit has risen.
 */
const MAXIMUM_SPREAD_MILLISECONDS = 4000;

/** Time over which the starts of more urgent calls are counted. */
const URGENT_WINDOW_MILLISECONDS = 2000;

/** Keeps rounding from postponing a token that is due. */
const ROUNDING_MARGIN = 1e-6;

interface Start {
  readonly at: number;
  readonly priority: number;
}

/** A token bucket with one token for each call; unlimited without a limit. */
export class RequestRate {
  private callsPerSecond: number | undefined;
  private tokens = 0;
  private refilledAt = 0;
  /** Tokens that accrue until then are expected to be used by refused calls. */
  private spreadUntil = 0;
  /** Calls that started recently, in order. */
  private readonly starts: Start[] = [];

  /** The limit in calls per second; undefined if there is none. */
  get limit(): number | undefined {
    return this.callsPerSecond;
  }

  /**
   * Changes the limit.
   * @param firstTokens Tokens at the start of a limit where there was none.
   */
  setLimit(now: number, limit: number | undefined, firstTokens = 0): void {
    if (limit === undefined) {
      this.callsPerSecond = undefined;
      this.spreadUntil = 0;
      this.starts.length = 0;
      return;
    }
    this.refill(now);
    const before = this.callsPerSecond;
    this.callsPerSecond = Math.max(MINIMUM_CALLS_PER_SECOND, limit);
    if (before === undefined) {
      this.tokens = firstTokens;
      this.refilledAt = now;
    } else if (before < this.callsPerSecond) {
      this.spreadUntil = 0;
    }
    this.tokens = Math.min(this.tokens, this.capacity);
  }

  /** Whether a call may start now. */
  hasToken(now: number): boolean {
    return this.wait(now, 1) === 0;
  }

  /** Takes the token of a call that starts; 0 is the most urgent priority. */
  take(now: number, priority = 0): void {
    if (this.callsPerSecond !== undefined) {
      this.refill(now);
      this.tokens -= 1;
      this.forgetStarts(now);
      this.starts.push({at: now, priority});
    }
  }

  /** Returns the token of a call that was not sent. */
  giveBack(now: number): void {
    if (this.callsPerSecond !== undefined) {
      this.refill(now);
      this.tokens = Math.min(this.capacity, this.tokens + 1);
    }
  }

  /** Milliseconds until a number of calls may have started. */
  wait(now: number, calls: number): number {
    if (this.callsPerSecond === undefined) {
      return 0;
    }
    const missing = calls - this.tokensAt(now);
    return missing <= ROUNDING_MARGIN
      ? 0
      : (missing * 1000) / this.callsPerSecond;
  }

  /**
   * Milliseconds until a call of a priority may start as the given one in turn.
   * More urgent calls that arrive meanwhile go first and take as much of the
   * limit as they did lately; infinite if they take all of it.
   */
  waitForTurn(now: number, turn: number, priority: number): number {
    const wait = this.wait(now, turn);
    if (wait === 0 || this.callsPerSecond === undefined) {
      return 0;
    }
    this.forgetStarts(now);
    const urgent = this.starts.filter((start) => start.priority < priority);
    const urgentPerSecond = (urgent.length * 1000) / URGENT_WINDOW_MILLISECONDS;
    return wait / Math.max(0, 1 - urgentPerSecond / this.callsPerSecond);
  }

  /**
   * Milliseconds until a refused call may be offered again. Calls that were
   * refused before have earlier times.
   */
  waitBehindRefused(now: number, calls: number): number {
    const wait = this.wait(now, calls);
    return wait === 0 ? 0 : Math.max(wait, this.spreadUntil - now);
  }

  /**
   * Reserves a later time for a refused call than for those before it.
   * @param share Part of a call that is expected to come back.
   */
  refused(now: number, share = 1): void {
    if (this.callsPerSecond !== undefined) {
      const from = Math.max(now + this.wait(now, 1), this.spreadUntil);
      const latest = now + MAXIMUM_SPREAD_MILLISECONDS;
      const interval = (share * 1000) / this.callsPerSecond;
      this.spreadUntil = Math.min(latest, from + interval);
    }
  }

  /** The clock jumped ahead, by time that may not have passed. */
  clockGained(milliseconds: number): void {
    this.refilledAt += milliseconds;
  }

  private forgetStarts(now: number): void {
    while (now - (this.starts[0]?.at ?? now) >= URGENT_WINDOW_MILLISECONDS) {
      this.starts.shift();
    }
  }

  private get capacity(): number {
    const perSecond = this.callsPerSecond ?? 0;
    return Math.max(1, (perSecond * BURST_MILLISECONDS) / 1000);
  }

  private refill(now: number): void {
    this.tokens = this.tokensAt(now);
    this.refilledAt = Math.max(this.refilledAt, now);
  }

  private tokensAt(now: number): number {
    const elapsed = Math.max(0, now - this.refilledAt);
    const accrued = (elapsed * (this.callsPerSecond ?? 0)) / 1000;
    return Math.min(this.capacity, this.tokens + accrued);
  }
}
