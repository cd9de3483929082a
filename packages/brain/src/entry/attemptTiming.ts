// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Time limits of attempts, derived from the durations of earlier calls. */

import {RecentDurations, TypicalDurations} from '@lockpin/routing';
import {goalEnd} from './callState.js';
import type {CallState} from './callState.js';
import type {EntrySettings} from './entrySettings.js';
import type {RetryPolicy} from './retryPolicy.js';

/**
 * An attempt of a repeatable call is overdue after this multiple of its typical
 * duration: 3 % of the calls of healthy upstreams take that long.
 */
const OVERDUE_FACTOR = 2.5;

/** Share of the route's latency goal after which any attempt is overdue. */
const OVERDUE_GOAL_SHARE = 0.55;

/** Shorter delays may be caused by scheduling. */
const SHORTEST_OVERDUE_MILLISECONDS = 60;

/** The acknowledgement timeout grows up to eightfold within one call. */
const MAXIMUM_ACKNOWLEDGEMENT_DOUBLINGS = 3;

/**
 * A call that waits starts so early that it is in time even if it takes this
 * multiple of its typical duration. With 1, half of the calls that wait longest
 * are late.
 */
const START_MARGIN = 1.5;

/** Records durations of calls and computes the time limits of new attempts. */
export class AttemptTiming {
  /** The last durations of each route. */
  readonly recent = new RecentDurations();
  private readonly durations = new TypicalDurations();

  constructor(
    private readonly settings: EntrySettings,
    private readonly retries: RetryPolicy,
  ) {}

  /** Records the duration of a successful call. */
  answered(route: string, milliseconds: number): void {
    this.durations.add(route, milliseconds);
    this.recent.add(route, milliseconds);
  }

  /** Typical duration of the calls of a route; undefined when not yet known. */
  typicalDuration(route: string): number | undefined {
    return this.durations.median(route);
  }

  /**
   * Acknowledgement timeout of the next offer. It doubles with each offer that
   * was not acknowledged: after several, a slow network is likelier than dead
   * guards.
   */
  acknowledgementTimeout({unacknowledgedOffers}: CallState): number {
    const doublings = Math.min(
      unacknowledgedOffers,
      MAXIMUM_ACKNOWLEDGEMENT_DOUBLINGS,
    );
    return this.settings.acknowledgementTimeoutMilliseconds * 2 ** doublings;
  }

  /**
   * Until when a call must start to be answered within its goal, in milliseconds
   * since 1970.
   */
  latestStart(state: CallState): number {
    const usual = this.typicalDuration(state.call.route.name) ?? 0;
    return goalEnd(state) - usual * START_MARGIN;
  }

  /** Time until an attempt is overdue; undefined if it cannot be hedged. */
  overdueAfter(state: CallState): number | undefined {
    const {hedgesOverdue} = this.settings;
    const mayHedge =
      this.retries.isRepeatable(state) &&
      this.retries.hasAttemptsLeft(state, 1);
    if (!hedgesOverdue || !mayHedge) {
      return undefined;
    }
    const {name, spec} = state.call.route;
    const goal = spec.goalMilliseconds ?? spec.waitMilliseconds;
    const latest = goal * OVERDUE_GOAL_SHARE;
    const typical = this.typicalDuration(name);
    const typicalLimit =
      typical === undefined ? latest : typical * OVERDUE_FACTOR;
    return Math.max(
      SHORTEST_OVERDUE_MILLISECONDS,
      Math.min(latest, typicalLimit),
    );
  }
}
