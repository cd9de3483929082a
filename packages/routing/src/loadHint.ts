// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Load reports that guards attach to their replies. */

import type {KnownNotice} from '@lockpin/types';

/** State of an upstream as reported by its guard. */
export type AnnouncedState =
  'accepting' | 'doubted' | 'probation' | 'ejected' | 'draining';

/** Load report that a guard attaches to every answer. */
export interface LoadHint {
  readonly state: AnnouncedState;
  /** Calls running and queued at the guard. */
  readonly occupied: number;
  /** Calls that the guard currently runs concurrently. */
  readonly limit: number;
  /** While doubted: milliseconds for which ordinary calls go elsewhere. */
  readonly doubtedFor?: number;
  /** While doubted: milliseconds until a repeatable call may be a probe. */
  readonly probeIn?: number;
  /**
   * While draining: milliseconds for which the guard still takes calls that end
   * within that time, for want of a free slot elsewhere; absent if it takes none.
   */
  readonly fallbackFor?: number;
  /**
   * Milliseconds until the upstream takes another call within the limit that it
   * states; absent if it does now.
   */
  readonly availableIn?: number;
  /**
   * Milliseconds until a usual call would get a slot, infinite if all are held
   * by calls that may never end; absent when a slot is free.
   */
  readonly slotIn?: number;
  /** Retries that the guard can still pay for; absent when not limited. */
  readonly retriesLeft?: number;
  /**
   * Share of its recent calls that the upstream rejected without running them,
   * from 0 to 1; absent when it rejected none.
   */
  readonly rejectedShare?: number;
  /** What the upstream states about itself; absent if it states nothing. */
  readonly notice?: KnownNotice;
}

/** States in which a guard refuses ordinary calls. */
const REFUSING_STATES: ReadonlySet<AnnouncedState> = new Set<AnnouncedState>([
  'doubted',
  'ejected',
  'draining',
]);

/** Whether a guard in this state refuses ordinary calls. */
export function isRefusing(
  state: AnnouncedState,
): state is Exclude<AnnouncedState, 'accepting' | 'probation'> {
  return REFUSING_STATES.has(state);
}
