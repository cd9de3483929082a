// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Upstreams whose processes end: how it is found out, and what ran there. */

import type {LoadHint} from '@lockpin/routing';
import {isSameIncarnation} from '@lockpin/utils';
import type {CallCourse} from './callCourse.js';
import type {GuardAction, GuardEvent} from './guardMessages.js';
import type {GuardedServices} from './guardedServices.js';
import type {UpstreamGuard} from './upstreamGuard.js';

/** Follows broken calls to the ends of their upstreams. */
export class UpstreamEnds {
  constructor(
    private readonly services: GuardedServices,
    private readonly course: CallCourse,
  ) {}

  /** One that drains is to end, and breaks what takes longer than it stays. */
  broke(
    now: number,
    upstream: UpstreamGuard,
    requestDigest: string,
  ): readonly GuardAction[] {
    return upstream.isDraining
      ? []
      : [
          ...crashed(upstream, upstream.crashes.broke(now, requestDigest)),
          ...this.look(now, upstream),
        ];
  }

  /** Calls broke: has the upstream ended, or does it only reset connections? */
  look(now: number, upstream: UpstreamGuard): readonly GuardAction[] {
    const {name, incarnation} = upstream;
    return upstream.crashes.beginLook(now)
      ? [{kind: 'look-at-upstream', upstream: name, incarnation}]
      : [];
  }

  /** What is found at the address tells nothing of an earlier process there. */
  lookedAt(
    now: number,
    event: GuardEvent & {readonly kind: 'upstream-looked-at'},
  ): readonly GuardAction[] {
    const upstream = this.services.upstream(event.upstream);
    return upstream === undefined ||
      !isSameIncarnation(upstream.incarnation, event.incarnation)
      ? []
      : crashed(upstream, upstream.crashes.looked(now, event.presence));
  }

  /**
   * The process ended and another one has its id: nothing of its calls can still come,
   * and what was told of its standing is past.
   */
  succeeded(
    now: number,
    upstream: UpstreamGuard,
    hint: LoadHint | undefined,
  ): readonly GuardAction[] {
    const {name, isDraining} = upstream;
    const {actions, digests} = this.course.endAllOf(now, upstream);
    return [
      ...actions,
      ...crashed(upstream, isDraining ? [] : digests),
      ...(hint === undefined
        ? []
        : [{kind: 'standing', upstream: name, hint} as const]),
    ];
  }
}

function crashed(
  {name}: UpstreamGuard,
  digests: readonly string[],
): readonly GuardAction[] {
  return digests.length === 0
    ? []
    : [{kind: 'upstream-crashed', upstream: name, digests}];
}
