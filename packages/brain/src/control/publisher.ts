// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Changes that operators offered here and whose end is not known yet. */

import type {ConfigurationState} from '@lockpin/configuration';
import {shapeProblems} from '@lockpin/configuration';
import type {ApiFailure, ChangeRecord} from '@lockpin/types';
import type {
  AppendResult,
  ChangeSettlement,
  ControlAction,
} from './controlMessages.js';

/** How long an operator waits for a change to be read back. */
const PATIENCE_MILLISECONDS = 10_000;

/** Appends that the log certainly did not take are tried again this often. */
const MOST_APPENDS = 4;
const APPEND_RETRY_MILLISECONDS = 300;

interface Pending {
  readonly change: ChangeRecord;
  readonly offeredAt: number;
  appends: number;
  retryAt: number | undefined;
  mayBePublished: boolean;
}

/**
 * Appends each change once. When the confirmation is lost, the log is read
 * until the change shows up; it is never appended again, since the first
 * append may have taken effect.
 */
export class Publisher {
  private readonly pending = new Map<string, Pending>();

  /** Whether a change here waits to be read back. */
  get isWaiting(): boolean {
    return this.pending.size > 0;
  }

  offer(
    now: number,
    state: ConfigurationState,
    change: ChangeRecord,
    isHeld: boolean,
  ): readonly ControlAction[] {
    const early = settledEarly(state, change);
    if (early !== undefined) {
      return [settled(change.changeId, early)];
    }
    this.pending.set(change.changeId, {
      change,
      offeredAt: now,
      appends: isHeld ? 0 : 1,
      retryAt: isHeld ? now : undefined,
      mayBePublished: !isHeld,
    });
    return isHeld ? [] : [append(change)];
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
    if (pending.appends < MOST_APPENDS) {
      pending.retryAt = now + APPEND_RETRY_MILLISECONDS * pending.appends;
      return [];
    }
    return this.fail(changeId, 'not-published');
  }

  /**
   * Settles what was read back, tries again and gives up. While appends are held, nothing
   * new is written: a restored log takes first what it has lost, in its order.
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
        actions.push(settled(changeId, {kind: 'outcome', outcome}));
      } else if (now - pending.offeredAt > PATIENCE_MILLISECONDS) {
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
        actions.push(append(pending.change));
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
    return [settled(changeId, {kind: 'failure', failure})];
  }
}

/** What can be told without the log: bad shape, and a loss that is certain. */
function settledEarly(
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

function append(change: ChangeRecord): ControlAction {
  return {
    kind: 'append',
    token: change.changeId,
    stream: 'configuration',
    value: change,
  };
}

function settled(
  changeId: string,
  settlement: ChangeSettlement,
): ControlAction {
  return {kind: 'change-settled', changeId, settlement};
}
