// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What an entry learns of upstreams and routes from its attempts. */

import type {LoadHint, UpstreamLoads} from '@lockpin/routing';
import {FIRST_FAILED_STATUS} from '@lockpin/utils';
import type {AttemptTiming} from './attemptTiming.js';
import type {CallState} from './callState.js';
import type {EntryEvent} from './entryMessages.js';

/** What an answer tells besides its content. */
type AnswerNews = Pick<
  EntryEvent & {readonly kind: 'attempt-answered'},
  'hint' | 'status' | 'ranMilliseconds'
>;

/** Passes on what attempts tell to those that choose by it. */
export class AttemptNews {
  constructor(
    private readonly loads: UpstreamLoads,
    private readonly timing: AttemptTiming,
  ) {}

  /** A guard refused a call. */
  refusalHeard(
    now: number,
    state: CallState,
    event: EntryEvent & {readonly kind: 'attempt-refused'},
  ): void {
    const {upstream, hint, refusal} = event;
    this.heard(now, upstream, hint);
    if (hint === undefined && refusal.reason === 'no-upstream') {
      this.loads.isMissing(state.upstream, now);
    }
  }

  /** An upstream answered: there was a slot, and the call took its time. */
  answerHeard(
    now: number,
    upstream: string,
    {call}: CallState,
    {hint, status, ranMilliseconds}: AnswerNews,
  ): void {
    this.heard(now, upstream, hint);
    if (ranMilliseconds !== undefined && status < FIRST_FAILED_STATUS) {
      this.timing.answered(call.route.name, ranMilliseconds);
    }
  }

  /** A guard said how its upstream is. */
  private heard(
    now: number,
    upstream: string,
    hint: LoadHint | undefined,
  ): void {
    if (hint !== undefined) {
      this.loads.heard(upstream, now, hint);
    }
  }
}
