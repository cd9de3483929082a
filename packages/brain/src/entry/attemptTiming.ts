// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How long an attempt may take before something is done about it. */

import {TypicalDurations} from '@lockpin/routing';
import type {CallState} from './callState.js';
import type {EntrySettings} from './entrySettings.js';
import type {RetryPolicy} from './retryPolicy.js';

/**
 * An attempt of a repeatable call is overdue after this many times its usual
 * duration: three in a hundred calls of healthy upstreams take that long.
 */
const OVERDUE_FACTOR = 2.5;

/** Share of the route's goal after which an attempt is overdue at the latest. */
const OVERDUE_GOAL_SHARE = 0.55;

/** Earlier than this, a scheduling delay could be the cause. */
const SHORTEST_OVERDUE_MILLISECONDS = 60;

/** The wait for a guard's answer grows up to eight times within one call. */
const MOST_SILENCE_DOUBLINGS = 3;

/** Learns how long calls take, and sets the limits of the next ones by it. */
export class AttemptTiming {
  private readonly durations = new TypicalDurations();

  constructor(
    private readonly settings: EntrySettings,
    private readonly retries: RetryPolicy,
  ) {}

  /** A call of a route was answered well. */
  answered(route: string, milliseconds: number): void {
    this.durations.add(route, milliseconds);
  }

  /** How long calls of a route usually take; undefined when not yet known. */
  usual(route: string): number | undefined {
    return this.durations.of(route);
  }

  /** After some silences, the way from here is slow rather than a guard dead. */
  silenceAfter({silences}: CallState): number {
    const doublings = Math.min(silences, MOST_SILENCE_DOUBLINGS);
    return this.settings.silenceMilliseconds * 2 ** doublings;
  }

  /** Only calls that can be sent elsewhere are ever overdue. */
  overdueAfter(state: CallState): number | undefined {
    const {replacesOverdue} = this.settings;
    const mayReplace =
      this.retries.mayRepeat(state) && this.retries.mayPay(state, 1);
    if (!replacesOverdue || !mayReplace) {
      return undefined;
    }
    const {name, spec} = state.call.route;
    const goal = spec.goalMilliseconds ?? spec.waitMilliseconds;
    const latest = goal * OVERDUE_GOAL_SHARE;
    const usual = this.usual(name);
    const usualLimit = usual === undefined ? latest : usual * OVERDUE_FACTOR;
    return Math.max(
      SHORTEST_OVERDUE_MILLISECONDS,
      Math.min(latest, usualLimit),
    );
  }
}
