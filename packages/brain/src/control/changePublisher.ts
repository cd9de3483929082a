// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Publishes the changes that operators submit here. */

import type {ConfigurationState} from '@lockpin/configuration';
import {shapeProblems} from '@lockpin/configuration';
import type {ApiFailure, ChangeRecord} from '@lockpin/types';
import type {
  AppendResult,
  ChangeSettlement,
  ControlAction,
} from './controlMessages.js';

/** How long an operator waits for a change to be read back. */
const PUBLISH_TIMEOUT_MILLISECONDS = 10_000;

/** Limit of appends per change; only definite failures are retried. */
const MAX_APPENDS = 4;
const APPEND_RETRY_MILLISECONDS = 300;

interface PendingChange {
  readonly change: ChangeRecord;
  readonly submittedAt: number;
  appends: number;
  retryAt: number | undefined;
  mayBePublished: boolean;
}

/**
 * Appends each change once. If the confirmation is lost, the log is read until
 * the change appears; it is never appended again, since the first append may
 * have taken effect.
 */
export class ChangePublisher {
  private readonly pending = new Map<string, PendingChange>();

  /** Whether a change submitted here is yet to be read back. */
  get isWaiting(): boolean {
    return this.pending.size > 0;
  }

  submit(
    now: number,
    state: ConfigurationState,
    change: ChangeRecord,
    isHeld: boolean,
  ): readonly ControlAction[] {
    const early = earlySettlement(state, change);
    if (early !== undefined) {
      return [settleAction(change.changeId, early)];
    }
    this.pending.set(change.changeId, {
      change,
      submittedAt: now,
      appends: isHeld ? 0 : 1,
      retryAt: isHeld ? now : undefined,
      mayBePublished: !isHeld,
    });
    return isHeld ? [] : [appendAction(change)];
  }

  appendEnded(
    now: number,
    changeId: string,
    result: AppendResult,
  ): readonly ControlAction[] {
    const pending = this.pending.get(changeId);
    if (pending === undefined || result.kind !== 'not-appended') {
      return [];
    }
    pending.mayBePublished = false;
    if (pending.appends < MAX_APPENDS) {
      pending.retryAt = now + APPEND_RETRY_MILLISECONDS * pending.appends;
      return [];
    }
    return this.fail(changeId, 'not-published');
  }

  /**
   * Settles changes that were read back, retries appends and times out. While
   * appends are held, nothing new is written: the lost records of a restored
   * log are rewritten first, in their order.
   */
  review(
    now: number,
    state: ConfigurationState,
    isHeld: boolean,
  ): readonly ControlAction[] {
    const actions: ControlAction[] = [];
    for (const [changeId, pending] of this.pending) {
      const outcome = state.outcomeOf(changeId);
      if (outcome !== undefined) {
        this.pending.delete(changeId);
        actions.push(settleAction(changeId, {kind: 'outcome', outcome}));
      } else if (now - pending.submittedAt > PUBLISH_TIMEOUT_MILLISECONDS) {
        const known = pending.mayBePublished ? 'unknown' : 'not-published';
        actions.push(...this.fail(changeId, known));
      } else if (
        !isHeld &&
        pending.retryAt !== undefined &&
        now >= pending.retryAt
      ) {
        pending.retryAt = undefined;
        pending.appends += 1;
        pending.mayBePublished = true;
        actions.push(appendAction(pending.change));
      }
    }
    return actions;
  }

  private fail(
    changeId: string,
    outcome: 'not-published' | 'unknown',
  ): readonly ControlAction[] {
    this.pending.delete(changeId);
    const failure: ApiFailure = {kind: 'log-unavailable', outcome, changeId};
    return [settleAction(changeId, {kind: 'failure', failure})];
  }
}

/** Result known without the log: an invalid change or a certain conflict. */
function earlySettlement(
  state: ConfigurationState,
  change: ChangeRecord,
): ChangeSettlement | undefined {
  const problems = shapeProblems(change);
  if (problems.length > 0) {
    return {kind: 'failure', failure: {kind: 'invalid', problems}};
  }
  for (const {kind, name, basedOn} of change.writes) {
    const winnerVersion = state.get(kind, name)?.version ?? 0;
    if (winnerVersion > basedOn) {
      const failure: ApiFailure = {
        kind: 'conflict',
        resource: `${kind} ${name}`,
        basedOn,
        winnerVersion,
        winnerChangeId: '',
      };
      return {kind: 'failure', failure};
    }
  }
  return undefined;
}

function appendAction(change: ChangeRecord): ControlAction {
  return {
    kind: 'append',
    token: change.changeId,
    stream: 'configuration',
    value: change,
  };
}

function settleAction(
  changeId: string,
  settlement: ChangeSettlement,
): ControlAction {
  return {kind: 'change-settled', changeId, settlement};
}
