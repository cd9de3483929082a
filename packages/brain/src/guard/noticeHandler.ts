// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Handles what upstreams state about themselves in their answers. */

import type {CallLifecycle} from './callLifecycle.js';
import type {GuardCall} from './guardCall.js';
import type {GuardAction, GuardEvent} from './guardMessages.js';
import type {NoticeChange} from './statedNotice.js';
import type {UpstreamGuard} from './upstreamGuard.js';

/** From where the guard has a notice, for logs. */
type NoticeSource = 'answer' | 'entry';

/** A limit that has risen by this factor is published to entries at once. */
const PUBLISHED_RISE_FACTOR = 2;

/** Applies notices to upstreams, and publishes what they change. */
export class NoticeHandler {
  constructor(private readonly lifecycle: CallLifecycle) {}

  /** An answer of the upstream began; ignored if its call has ended. */
  stated(
    now: number,
    {callId, notice}: GuardEvent & {readonly kind: 'upstream-stated'},
  ): readonly GuardAction[] {
    const upstream = this.lifecycle.get(callId)?.upstream;
    return upstream === undefined
      ? []
      : this.publish(
          now,
          upstream,
          'answer',
          upstream.notice.answered(now, notice),
        );
  }

  /**
   * An entry repeats the latest notice that reached it when it offers a call. It
   * still holds if this guard has restarted since.
   */
  learned(
    now: number,
    upstream: UpstreamGuard,
    {knownNotice}: GuardCall,
  ): readonly GuardAction[] {
    return knownNotice?.incarnation !== upstream.incarnationName
      ? []
      : this.publish(
          now,
          upstream,
          'entry',
          upstream.notice.learned(now, knownNotice),
        );
  }

  private publish(
    now: number,
    upstream: UpstreamGuard,
    source: NoticeSource,
    changes: readonly NoticeChange[],
  ): readonly GuardAction[] {
    if (changes.length === 0) {
      return [];
    }
    const {name, incarnation} = upstream;
    const isLeaving = changes.some(({kind}) => kind === 'leaving');
    return [
      ...changes.map((change) => noticeEvent(name, source, change)),
      ...(changes.some(concernsEntries) ? standingOf(now, upstream) : []),
      ...(isLeaving
        ? [
            {kind: 'upstream-leaving', upstream: name, incarnation} as const,
            ...this.lifecycle.refuseQueuedOnDraining(now),
          ]
        : []),
    ];
  }
}

/** Smaller changes reach entries with the hints that they get anyway. */
function concernsEntries(change: NoticeChange): boolean {
  switch (change.kind) {
    case 'limited': {
      const {requestsPerSecond, before = 0} = change;
      return requestsPerSecond >= PUBLISHED_RISE_FACTOR * before;
    }
    case 'limit-unreadable':
      return false;
    case 'limit-ended':
    case 'leaving':
      return true;
  }
}

/**
 * Publishes the hint, unless the upstream is in doubt: while a first call runs,
 * that would keep calls away that are welcome once it has been answered.
 */
function standingOf(
  now: number,
  upstream: UpstreamGuard,
): readonly GuardAction[] {
  const hint = upstream.hint(now);
  return hint.state === 'doubted'
    ? []
    : [{kind: 'standing', upstream: upstream.name, hint}];
}

function noticeEvent(
  subject: string,
  source: NoticeSource,
  change: NoticeChange,
): GuardAction {
  return {
    kind: 'timeline',
    event: `upstream-${change.kind}`,
    subject,
    detail: {source, ...detailOf(change)},
  };
}

function detailOf(
  change: NoticeChange,
): Readonly<Record<string, string | number>> {
  switch (change.kind) {
    case 'limited': {
      const {requestsPerSecond, before} = change;
      return {requestsPerSecond, ...(before !== undefined && {before})};
    }
    case 'limit-unreadable':
      return {value: change.value};
    case 'limit-ended':
    case 'leaving':
      return {};
  }
}
