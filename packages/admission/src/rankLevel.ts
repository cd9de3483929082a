// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The waiting calls of one rank, with fair queueing between customers. */

import type {WaitingCall} from './waitingCall.js';

/** The calls of one customer. */
export interface CustomerQueue {
  readonly calls: WaitingCall[];
  /** Calls served to the customer at this rank, divided by its weight. */
  served: number;
}

interface TaggedCall {
  readonly call: WaitingCall;
  /** Service of its customer when its turn comes; the lowest goes first. */
  readonly tag: number;
}

/**
 * Start-time fair queueing: the customer with the least weighted service is
 * next, with its call of the nearest deadline.
 */
export class RankLevel {
  private readonly queues = new Map<string, CustomerQueue>();
  /** Service level at which customers join or return, less their burst. */
  private virtualTime = 0;

  /**
   * @param burstCalls The calls, per unit of weight, that a customer which was
   * served less than others may have served ahead of its turn. Undefined if
   * service is not remembered once a customer has no call waiting.
   */
  constructor(private readonly burstCalls: () => number | undefined) {}

  /** Number of waiting calls. */
  get size(): number {
    let count = 0;
    this.queues.forEach(({calls}) => (count += calls.length));
    return count;
  }

  /** The calls of each customer. */
  customerQueues(): Iterable<CustomerQueue> {
    return this.queues.values();
  }

  waitingOf(customer: string): number {
    return this.queues.get(customer)?.calls.length ?? 0;
  }

  add(call: WaitingCall): void {
    const {calls} = this.join(call.customer);
    const later = calls.findIndex(({deadline}) => deadline > call.deadline);
    calls.splice(later < 0 ? calls.length : later, 0, call);
  }

  remove({customer, id}: WaitingCall): void {
    const calls = this.queues.get(customer)?.calls;
    const index = calls?.findIndex((waiting) => waiting.id === id) ?? -1;
    if (index >= 0) {
      calls?.splice(index, 1);
      this.forgetIdle();
    }
  }

  /** Removes and returns the next call. */
  take(): WaitingCall | undefined {
    let lowest: CustomerQueue | undefined;
    for (const queue of this.queues.values()) {
      const isLower = lowest === undefined || queue.served < lowest.served;
      if (queue.calls.length > 0 && isLower) {
        lowest = queue;
      }
    }
    const call = lowest?.calls.shift();
    if (lowest !== undefined && call !== undefined) {
      this.countService(lowest, call);
    }
    return call;
  }

  /** Counts a call that started without waiting as served to its customer. */
  startedDirectly(call: WaitingCall): void {
    if (this.burstCalls() !== undefined) {
      this.countService(this.join(call.customer), call);
    }
  }

  /** Number of waiting calls that are served before a new one. */
  aheadOf(call: WaitingCall): number {
    return this.burstCalls() === undefined
      ? this.aheadByTurns(call)
      : this.aheadByService(call);
  }

  /** Assumes that all customers have been served alike. */
  private aheadByTurns({customer, weight}: WaitingCall): number {
    const turns = this.waitingOf(customer) + 1;
    let ahead = 0;
    this.queues.forEach(({calls}) => {
      const ratio = (calls[0]?.weight ?? 1) / weight;
      ahead += Math.min(calls.length, Math.ceil(turns * ratio));
    });
    return ahead;
  }

  private aheadByService(call: WaitingCall): number {
    const own = this.queues.get(call.customer);
    const ownCalls = own?.calls.length ?? 0;
    const tag = this.joiningService(own) + ownCalls / call.weight;
    let ahead = ownCalls;
    this.queues.forEach(({calls, served}, customer) => {
      const lead = (tag - served) * (calls[0]?.weight ?? 1);
      if (customer !== call.customer && lead >= 0) {
        ahead += Math.min(calls.length, Math.floor(lead) + 1);
      }
    });
    return ahead;
  }

  /** The calls in the order in which they would be served now. */
  inOrder(): readonly WaitingCall[] {
    const tagged: TaggedCall[] = [];
    this.queues.forEach(({calls, served}) =>
      calls.forEach((call, i) =>
        tagged.push({call, tag: served + i / call.weight}),
      ),
    );
    return tagged.sort((a, b) => a.tag - b.tag).map(({call}) => call);
  }

  /** The queue of a customer that gets a call. */
  private join(customer: string): CustomerQueue {
    const found = this.queues.get(customer);
    const served = this.joiningService(found);
    const queue = found ?? {calls: [], served};
    queue.served = served;
    this.queues.set(customer, queue);
    return queue;
  }

  /** The service that a customer starts from when it gets a call. */
  private joiningService(queue: CustomerQueue | undefined): number {
    const lowest = this.virtualTime - (this.burstCalls() ?? 0);
    const isWaiting = queue !== undefined && queue.calls.length > 0;
    return isWaiting ? queue.served : Math.max(queue?.served ?? lowest, lowest);
  }

  private countService(queue: CustomerQueue, {weight}: WaitingCall): void {
    this.virtualTime = Math.max(this.virtualTime, queue.served);
    queue.served += 1 / weight;
    this.forgetIdle();
  }

  /** Drops customers without calls that would rejoin at the lowest service. */
  private forgetIdle(): void {
    const burst = this.burstCalls();
    this.queues.forEach(({calls, served}, customer) => {
      const isLowest =
        burst === undefined || served <= this.virtualTime - burst;
      if (calls.length === 0 && isLowest) {
        this.queues.delete(customer);
      }
    });
  }
}
