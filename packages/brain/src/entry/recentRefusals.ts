// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Remembers calls that guards have just refused because no slot was in time. */

import type {EntryCall} from './entryMessages.js';

/** A refusal applies to later calls for this long. */
const VALID_MILLISECONDS = 1000;

/** Kinds of calls remembered; the longest unchanged are dropped first. */
const MAXIMUM_REMEMBERED = 512;

interface KnownRefusal {
  readonly priority: number;
  readonly at: number;
}

/**
 * One refusal for each customer of a service: what its guard refused is refused
 * to equally or less urgent calls of the same customer as well.
 */
export class RecentRefusals {
  private readonly refusals = new Map<string, KnownRefusal>();

  /** A guard expected no slot in time for a call. */
  refused(now: number, call: EntryCall): void {
    const key = keyOf(call);
    const known = this.refusals.get(key);
    const isCovered =
      known !== undefined &&
      now - known.at <= VALID_MILLISECONDS &&
      known.priority < priorityOf(call);
    if (isCovered) {
      return;
    }
    this.refusals.delete(key);
    this.refusals.set(key, {priority: priorityOf(call), at: now});
    if (this.refusals.size > MAXIMUM_REMEMBERED) {
      const [oldest] = this.refusals.keys();
      this.refusals.delete(oldest as string);
    }
  }

  /** Whether a guard has just refused a call that was no less urgent. */
  covers(now: number, call: EntryCall): boolean {
    const known = this.refusals.get(keyOf(call));
    return (
      known !== undefined &&
      now - known.at <= VALID_MILLISECONDS &&
      known.priority <= priorityOf(call)
    );
  }
}

function keyOf({view, customer}: EntryCall): string {
  return `${view.name} ${customer}`;
}

function priorityOf({priority, route}: EntryCall): number {
  return priority ?? route.spec.priority;
}
