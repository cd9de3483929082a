// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Queue of waiting calls: by rank, then fair between customers. */

import {RankLevel} from './rankLevel.js';
import {isTooLateFor, queueRank} from './waitingCall.js';
import type {WaitingCall} from './waitingCall.js';

/** Serves the lowest rank first, and customers fairly within each rank. */
export class FairQueue {
  private readonly levels = new Map<number, RankLevel>();
  private readonly byId = new Map<string, WaitingCall>();

  /** @param burstCalls See RankLevel. */
  constructor(
    private readonly burstCalls: () => number | undefined = () => undefined,
  ) {}

  get size(): number {
    return this.byId.size;
  }

  /** All waiting calls, in no particular order. */
  all(): readonly WaitingCall[] {
    return [...this.byId.values()];
  }

  /** All waiting calls in the order in which they would be served now. */
  inOrder(): readonly WaitingCall[] {
    return this.ranks().flatMap((rank) => this.level(rank).inOrder());
  }

  /** Number of waiting calls of a customer. */
  waitingOf(customer: string): number {
    let count = 0;
    this.levels.forEach((level) => (count += level.waitingOf(customer)));
    return count;
  }

  /** Customers that have calls waiting. */
  waitingCustomers(): ReadonlySet<string> {
    const names = new Set<string>();
    for (const call of this.byId.values()) {
      names.add(call.customer);
    }
    return names;
  }

  /**
   * Number of calls served before a new one: all of lower rank, and of equal
   * rank as many as fair queueing serves first.
   */
  aheadOf(call: WaitingCall): number {
    const ownRank = queueRank(call);
    let ahead = this.levels.get(ownRank)?.aheadOf(call) ?? 0;
    for (const [rank, level] of this.levels) {
      ahead += rank < ownRank ? level.size : 0;
    }
    return ahead;
  }

  add(call: WaitingCall): void {
    this.level(queueRank(call)).add(call);
    this.byId.set(call.id, call);
  }

  /** Counts a call that started without waiting as served to its customer. */
  startedDirectly(call: WaitingCall): void {
    this.level(queueRank(call)).startedDirectly(call);
  }

  /** Removes and returns the next call. */
  take(): WaitingCall | undefined {
    for (const rank of this.ranks()) {
      const call = this.level(rank).take();
      if (call !== undefined) {
        this.byId.delete(call.id);
        return call;
      }
    }
    return undefined;
  }

  /** Removes a call; false if it is not waiting. */
  remove(id: string): boolean {
    const call = this.byId.get(id);
    if (call === undefined) {
      return false;
    }
    this.byId.delete(id);
    this.level(queueRank(call)).remove(call);
    return true;
  }

  /** The call that a more urgent one may displace: least urgent, latest due. */
  leastUrgent(): WaitingCall | undefined {
    let selected: WaitingCall | undefined;
    for (const call of this.byId.values()) {
      if (selected === undefined || isLessUrgent(call, selected)) {
        selected = call;
      }
    }
    return selected;
  }

  /**
   * The call that a call of a customer with fewer waiting calls may displace:
   * the latest due of the customer with the longest weighted queue, among calls
   * that are not more urgent.
   */
  latestOfBusiestCustomer(call: WaitingCall): WaitingCall | undefined {
    const ownLoad = (this.waitingOf(call.customer) + 1) / call.weight;
    const ownRank = queueRank(call);
    let highest = ownLoad;
    let selected: WaitingCall | undefined;
    for (const [rank, level] of this.levels) {
      for (const {calls} of level.customerQueues()) {
        const last = calls.at(-1);
        const load = calls.length / (last?.weight ?? 1);
        if (rank >= ownRank && load > highest) {
          highest = load;
          selected = last;
        }
      }
    }
    return selected;
  }

  /** Calls that are too late even if they start now. */
  expired(
    now: number,
    needed: (call: WaitingCall) => number,
  ): readonly WaitingCall[] {
    return this.all().filter((call) => isTooLateFor(call, now, needed(call)));
  }

  private ranks(): readonly number[] {
    return [...this.levels.keys()].sort((a, b) => a - b);
  }

  private level(rank: number): RankLevel {
    const existing = this.levels.get(rank);
    if (existing !== undefined) {
      return existing;
    }
    const created = new RankLevel(this.burstCalls);
    this.levels.set(rank, created);
    return created;
  }
}

function isLessUrgent(a: WaitingCall, b: WaitingCall): boolean {
  const rankDifference = queueRank(a) - queueRank(b);
  return (
    rankDifference > 0 || (rankDifference === 0 && a.deadline > b.deadline)
  );
}
