// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Detects ended upstream processes and the requests that ran on them. */

import type {LoadHint} from '@lockpin/routing';
import {isSameIncarnation} from '@lockpin/utils';
import type {CallLifecycle} from './callLifecycle.js';
import type {GuardAction, GuardEvent} from './guardMessages.js';
import type {GuardedServices} from './guardedServices.js';
import type {UpstreamGuard} from './upstreamGuard.js';

/** Handles broken calls, connection checks and replaced processes. */
export class UpstreamExitHandler {
  constructor(
    private readonly services: GuardedServices,
    private readonly lifecycle: CallLifecycle,
  ) {}

  /**
   * Handles a broken call. A draining upstream is expected to exit and to break
   * calls that outlast it, so its exit is no crash.
   */
  callBroke(
    now: number,
    upstream: UpstreamGuard,
    requestDigest: string,
  ): readonly GuardAction[] {
    return upstream.isDraining
      ? []
      : [
          ...crashed(upstream, upstream.crashes.callBroke(now, requestDigest)),
          ...this.checkIfDue(now, upstream),
        ];
  }

  /** Requests a connection check if one is due after broken calls. */
  checkIfDue(now: number, upstream: UpstreamGuard): readonly GuardAction[] {
    const {name, incarnation} = upstream;
    return upstream.crashes.beginCheck(now)
      ? [{kind: 'check-upstream', upstream: name, incarnation}]
      : [];
  }

  /** Handles a connection check, unless it concerns an earlier process. */
  checkFinished(
    now: number,
    event: GuardEvent & {readonly kind: 'upstream-checked'},
  ): readonly GuardAction[] {
    const upstream = this.services.upstream(event.upstream);
    return upstream === undefined ||
      !isSameIncarnation(upstream.incarnation, event.incarnation)
      ? []
      : crashed(
          upstream,
          upstream.crashes.checkFinished(now, event.addressState),
        );
  }

  /**
   * Handles a process that was replaced by another one with the same id: its
   * calls can no longer be answered, and its announced standing is obsolete.
   */
  processReplaced(
    now: number,
    upstream: UpstreamGuard,
    hint: LoadHint | undefined,
  ): readonly GuardAction[] {
    const {name, isDraining} = upstream;
    const {actions, digests} = this.lifecycle.endAllOf(now, upstream);
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
