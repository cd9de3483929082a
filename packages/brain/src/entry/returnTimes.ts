// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** When refused calls may come back, so that they do not do so together. */

import type {RandomSource} from '@lockpin/types';
import type {CallState} from './callState.js';

/** Time constant of the counts, which cover about the last second. */
const COUNT_MILLISECONDS = 1000;

/** Share of its remaining time in which a caller still comes back. */
export const RETURN_SHARE = 1 / 3;

/** A retry-after of 0 means that no delay is known to help. */
const SHORTEST_RETURN_MILLISECONDS = 50;

/** An exponentially decaying count. */
interface DecayingCount {
  readonly value: number;
  readonly at: number;
}

const NO_COUNT: DecayingCount = {value: 0, at: 0};

/** Counts the refused and the completed calls of each service at this entry. */
export class ReturnTimes {
  private readonly refusals = new Map<string, DecayingCount>();
  private readonly completions = new Map<string, DecayingCount>();

  /** Counts a call that was refused for lack of capacity. */
  refused(now: number, service: string): void {
    increment(this.refusals, now, service);
  }

  /** Counts a call that an upstream has answered. */
  completed(now: number, service: string): void {
    increment(this.completions, now, service);
  }

  /**
   * Milliseconds after which a refused call may come back: the shortest known
   * wait, and a random part of the time that the service needs for the calls
   * refused in the last second. It ends in the time in which callers come back,
   * unless the wait alone is longer.
   */
  after(
    now: number,
    random: RandomSource,
    {call}: Pick<CallState, 'call'>,
    shortestWait: number,
  ): number {
    const service = call.view.name;
    const refused = valueOf(this.refusals.get(service), now);
    const completed = valueOf(this.completions.get(service), now);
    const backlog = (refused / Math.max(1, completed)) * COUNT_MILLISECONDS;
    const useful = (call.deadline - now) * RETURN_SHARE;
    const wait = Math.max(SHORTEST_RETURN_MILLISECONDS, shortestWait);
    const spread = Math.max(0, Math.min(backlog, useful - wait));
    return Math.ceil(wait + random() * spread);
  }
}

function increment(
  counts: Map<string, DecayingCount>,
  now: number,
  service: string,
): void {
  counts.set(service, {value: valueOf(counts.get(service), now) + 1, at: now});
}

function valueOf({value, at} = NO_COUNT, now: number): number {
  return value * Math.exp((at - now) / COUNT_MILLISECONDS);
}
