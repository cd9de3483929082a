// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Handles what upstreams state about themselves in their answers. */

import type {CallLifecycle} from './callLifecycle.js';
import type {GuardAction, GuardCall, GuardEvent} from './guardMessages.js';
import type {NoticeChange} from './statedNotice.js';
import type {UpstreamGuard} from './upstreamGuard.js';

/** From where the guard has a notice, for logs. */
type NoticeSource = 'answer' | 'entry';

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
   * An entry offers a call with what it was told of the upstream. Answers that
   * this entry passed on bind it even if this guard has restarted since.
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
      ...standingOf(now, upstream),
      ...(isLeaving
        ? [
            {kind: 'upstream-leaving', upstream: name, incarnation} as const,
            ...this.lifecycle.refuseQueuedOnDraining(now),
          ]
        : []),
    ];
  }
}

/**
 * Tells all entries at once, unless the upstream is in doubt: while a first call
 * runs, that would keep calls away that are welcome once it has been answered.
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
  const {kind, ...detail} = change;
  return {
    kind: 'timeline',
    event: `upstream-${kind}`,
    subject,
    detail: {source, ...detail},
  };
}
