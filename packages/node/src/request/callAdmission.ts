// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Checks calls against their customers' limits and returns unused tokens. */

import type {Admission} from '@lockpin/limits';
import type {Refusal, RefusalReason} from '@lockpin/types';
import type {CallerRequest} from './callerRequest.js';
import {refuseRequest} from './earlyRefusals.js';
import type {RefusedRequest} from './earlyRefusals.js';
import type {EntryServiceDependencies} from './entryServiceDependencies.js';

/** Why a call may not run. */
type Denial = Exclude<Admission, {readonly kind: 'admitted'}>;

const ADMITTED: Admission = {kind: 'admitted'};

const REASONS: Readonly<Record<Denial['kind'], RefusalReason>> = {
  'over-limit': 'customer-over-limit',
  unknown: 'limit-unknown',
};

/** Admits calls within their customers' limits; returns unused tokens. */
export class CallAdmission {
  constructor(
    private readonly dependencies: Pick<
      EntryServiceDependencies,
      'admit' | 'onNotRun' | 'onUnrouted' | 'protocol' | 'metrics' | 'logger'
    >,
  ) {}

  /** Synchronous when a token is available locally or there is no limit. */
  check({keyOwner}: CallerRequest): Admission | Promise<Admission> {
    return keyOwner === undefined
      ? ADMITTED
      : (this.dependencies.admit?.(keyOwner) ?? ADMITTED);
  }

  /**
   * Refuses a request before it becomes a call; requests over a limit do not
   * queue.
   */
  refuse(unread: RefusedRequest, call: CallerRequest, denial: Denial): void {
    const {reason, retryAfterMilliseconds} = refusalFor(denial);
    refuseRequest(this.dependencies, unread, reason, retryAfterMilliseconds);
    this.dependencies.onUnrouted?.({
      requestId: unread.requestId,
      reason,
      customer: call.keyOwner ?? '',
      route: call.route.name,
      version: call.version,
      retryAfterMilliseconds: Math.round(retryAfterMilliseconds),
    });
  }

  /** Returns the token of a call that did not run. */
  notRun({keyOwner}: CallerRequest): void {
    if (keyOwner !== undefined) {
      this.dependencies.onNotRun?.(keyOwner);
    }
  }

  /** Returns the token of a call that ended before it was admitted. */
  async returnToken(
    call: CallerRequest,
    pending: Admission | Promise<Admission>,
  ): Promise<void> {
    const admission = await pending;
    if (admission.kind === 'admitted') {
      this.notRun(call);
    }
  }
}

/** The refusal of a call that was denied admission and has not run. */
export function refusalFor({kind, retryAfterMilliseconds}: Denial): Refusal {
  return {reason: REASONS[kind], outcome: 'not-run', retryAfterMilliseconds};
}
