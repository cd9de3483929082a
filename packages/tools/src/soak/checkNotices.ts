// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Checks that boxes obey what upstreams state in the answers they pass on. */

import {isUndisrupted} from './isUndisrupted.js';
import {createViolation} from './soakHistory.js';
import type {
  DisruptionRecord,
  LimitRecord,
  SoakBounds,
  SoakHistory,
  Violation,
} from './soakHistory.js';

/** A request that reached an upstream, with its origin. */
export interface NoticeArrival {
  readonly requestId: string;
  readonly lifetime: string;
  /** Box at which the request began. */
  readonly box: string;
  readonly sentAt: number;
  readonly at: number;
}

/** An answer with a notice that a box passed on to its caller. */
export interface RelayedNotice {
  readonly lifetime: string;
  readonly box: string;
  readonly at: number;
  readonly kind: 'limit' | 'leaving';
}

/** The part of a history that the checks of notices use. */
export interface NoticeHistory {
  readonly arrivals: readonly NoticeArrival[];
  readonly relayed: readonly RelayedNotice[];
  readonly limits: readonly LimitRecord[];
  readonly disruptions: readonly DisruptionRecord[];
}

type NoticeBounds = Pick<
  SoakBounds,
  'drainMilliseconds' | 'settleMilliseconds'
>;

/** Length of the windows in which arrivals are counted. */
const LIMIT_WINDOW_MILLISECONDS = 4000;

/** Tolerance: a multiple of what the limit allows, plus a number of requests. */
const LIMIT_FACTOR = 1.5;
const LIMIT_EXTRA = 5;

/** A box counts from this long after it passed on a limit. */
const RELAY_DELAY_MILLISECONDS = 500;

/** Disruptions after which a box need not remember a notice. */
const FORGETTING: ReadonlySet<string> = new Set(['kill', 'stop', 'pause']);

/** Returns all violations of limits and departures. */
export function checkNotices(
  history: NoticeHistory,
  bounds: NoticeBounds,
): readonly Violation[] {
  return [...checkLimits(history, bounds), ...checkLeaving(history, bounds)];
}

/** At most one violation for each statement of a limit. */
function checkLimits(
  history: NoticeHistory,
  {settleMilliseconds}: NoticeBounds,
): readonly Violation[] {
  return history.limits.flatMap((statement) => {
    const {lifetime, box, from, until, requestsPerSecond} = statement;
    const bindsFrom = from + settleMilliseconds;
    const arrivals = history.arrivals.filter(
      (arrival) =>
        arrival.lifetime === lifetime &&
        arrival.at >= from &&
        arrival.at <= until &&
        hasRelayed(
          history,
          arrival,
          'limit',
          arrival.at - RELAY_DELAY_MILLISECONDS,
        ),
    );
    const seconds = LIMIT_WINDOW_MILLISECONDS / 1000;
    const allowed = LIMIT_FACTOR * requestsPerSecond * seconds + LIMIT_EXTRA;
    const excess = arrivals
      .map(({at}) => ({at, count: countUntil(arrivals, at)}))
      .find(
        ({at, count}) =>
          at >= bindsFrom &&
          count > allowed &&
          isLinkHealthy(history.disruptions, box, at),
      );
    return excess === undefined
      ? []
      : [
          createViolation(
            'stated limits',
            lifetime,
            `${excess.count} requests in 4 s at ${requestsPerSecond} a second`,
          ),
        ];
  });
}

function countUntil(arrivals: readonly NoticeArrival[], end: number): number {
  return arrivals.filter(
    ({at}) => at <= end && at > end - LIMIT_WINDOW_MILLISECONDS,
  ).length;
}

/** A link that was held up delivers the requests of a longer time at once. */
function isLinkHealthy(
  disruptions: readonly DisruptionRecord[],
  box: string,
  end: number,
): boolean {
  const from = end - LIMIT_WINDOW_MILLISECONDS;
  return isUndisrupted(
    disruptions,
    box,
    from,
    end,
    ({what}) => what === 'link',
  );
}

/** Requests sent too long after their box passed on that an upstream leaves. */
function checkLeaving(
  history: NoticeHistory,
  {drainMilliseconds}: NoticeBounds,
): readonly Violation[] {
  return history.arrivals
    .filter((arrival) =>
      hasRelayed(
        history,
        arrival,
        'leaving',
        arrival.sentAt - drainMilliseconds,
      ),
    )
    .map(({requestId, lifetime, box}) =>
      createViolation(
        'stated departures',
        requestId,
        `reached ${lifetime} from ${box}, which had relayed its notice`,
      ),
    );
}

/**
 * Whether the box of an arrival passed on a notice of the upstream by a time
 * and has run undisturbed since.
 */
function hasRelayed(
  {relayed, disruptions}: NoticeHistory,
  {lifetime, box, at}: NoticeArrival,
  kind: RelayedNotice['kind'],
  by: number,
): boolean {
  return relayed.some(
    (notice) =>
      notice.kind === kind &&
      notice.lifetime === lifetime &&
      notice.box === box &&
      notice.at < by &&
      isUndisrupted(
        disruptions,
        box,
        notice.at,
        at,
        ({what}) =>
          FORGETTING.has(what) || (kind === 'limit' && what === 'link'),
      ),
  );
}

/** Extracts what the checks of notices use. */
export function noticeHistory(history: SoakHistory): NoticeHistory {
  const {arrivals, calls, limits, disruptions} = history;
  const callById = new Map(calls.map((call) => [call.requestId, call]));
  const known = arrivals.flatMap((arrival): readonly NoticeArrival[] => {
    const call = callById.get(arrival.requestId);
    return call === undefined
      ? []
      : [{...arrival, box: call.box, sentAt: call.sentAt}];
  });
  return {
    arrivals: known,
    relayed: relayedNotices(history),
    limits,
    disruptions,
  };
}

/** A call that reached several upstreams does not show whose answer it got. */
function relayedNotices({
  calls,
  arrivals,
}: SoakHistory): readonly RelayedNotice[] {
  const lifetimes = new Map<string, readonly string[]>();
  for (const {requestId, lifetime} of arrivals) {
    lifetimes.set(requestId, [...(lifetimes.get(requestId) ?? []), lifetime]);
  }
  return calls.flatMap(({requestId, box, endedAt: at, end}) => {
    const [lifetime, ...others] = lifetimes.get(requestId) ?? [];
    if (end.kind !== 'answered' || !lifetime || others.length > 0) {
      return [];
    }
    const notice = {lifetime, box, at};
    return [
      ...(end.statesLimit ? [{...notice, kind: 'limit'} as const] : []),
      ...(end.statesLeaving ? [{...notice, kind: 'leaving'} as const] : []),
    ];
  });
}
