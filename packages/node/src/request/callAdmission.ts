// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Whether calls are within their customers' limits, and what becomes of their tokens. */

import type {Admission} from '@lockpin/limits';
import type {Refusal, RefusalReason} from '@lockpin/types';
import type {CallerRequest} from './callerRequest.js';
import {refuseEarly} from './earlyRefusals.js';
import type {RefusedRequest} from './earlyRefusals.js';
import type {EntryServiceDependencies} from './entryServiceDependencies.js';

/** Why a call may not run. */
type Denial = Exclude<Admission, {readonly kind: 'admitted'}>;

const ADMITTED: Admission = {kind: 'admitted'};

const REASONS: Readonly<Record<Denial['kind'], RefusalReason>> = {
  'over-limit': 'customer-over-limit',
  unknown: 'limit-unknown',
};

/** Asks for each call, and gives back what calls have not used. */
export class CallAdmission {
  constructor(
    private readonly dependencies: Pick<
      EntryServiceDependencies,
      'admit' | 'onNotRun' | 'onUnrouted' | 'protocol' | 'metrics' | 'logger'
    >,
  ) {}

  /** Known at once where a token is in store, or where there is no limit. */
  of({keyOwner}: CallerRequest): Admission | Promise<Admission> {
    return keyOwner === undefined
      ? ADMITTED
      : (this.dependencies.admit?.(keyOwner) ?? ADMITTED);
  }

  /** Refuses a request that is no call yet: at once, for none waits for room. */
  refuse(unread: RefusedRequest, call: CallerRequest, denial: Denial): void {
    const {reason, retryAfterMilliseconds} = refusalFor(denial);
    refuseEarly(this.dependencies, unread, reason, retryAfterMilliseconds);
    this.dependencies.onUnrouted?.({
      requestId: unread.requestId,
      reason,
      customer: call.keyOwner ?? '',
      route: call.route.name,
      version: call.version,
      retryAfterMilliseconds: Math.round(retryAfterMilliseconds),
    });
  }

  /** What does not run does not count against its customer's limit. */
  notRun({keyOwner}: CallerRequest): void {
    if (keyOwner !== undefined) {
      this.dependencies.onNotRun?.(keyOwner);
    }
  }

  /** The call is over before it is known whether it may run. */
  async giveBack(
    call: CallerRequest,
    pending: Admission | Promise<Admission>,
  ): Promise<void> {
    const admission = await pending;
    if (admission.kind === 'admitted') {
      this.notRun(call);
    }
  }
}

/** The refusal of a call that may not run; it has not. */
export function refusalFor({kind, retryAfterMilliseconds}: Denial): Refusal {
  return {reason: REASONS[kind], outcome: 'not-run', retryAfterMilliseconds};
}
