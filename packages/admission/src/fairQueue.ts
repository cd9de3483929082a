// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Waiting calls: urgent ones first, then a fair share for each customer. */

/** A call that waits for a slot. */
export interface WaitingCall {
  readonly id: string;
  readonly customer: string;
  /** Share of this customer relative to the others; 1 is usual. */
  readonly weight: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time after which its answer is of no use, in milliseconds since 1970. */
  readonly deadline: number;
  /**
   * Time by which an answer must be expected for the call to wait at all;
   * the deadline when absent.
   */
  readonly usefulUntil?: number;
  /** It is refused rather than started later than this; no limit when absent. */
  readonly startBy?: number;
  /** How long it is expected to take; what calls here take when absent. */
  readonly expectedMilliseconds?: number;
  /** False when the call goes elsewhere rather than wait; true when absent. */
  readonly mayWait?: boolean;
}

/** The time by which a waiting call must be expected to be answered. */
export function waitsUntil({deadline, usefulUntil}: WaitingCall): number {
  return Math.min(deadline, usefulUntil ?? deadline);
}

/** Whether a waiting call had better be refused than started at a time. */
export function isTooLateFor(
  call: WaitingCall,
  startAt: number,
  duration: number,
): boolean {
  const {startBy = Number.POSITIVE_INFINITY} = call;
  return startAt > startBy || startAt + duration > waitsUntil(call);
}

interface CustomerQueue {
  readonly calls: WaitingCall[];
  /** Work this customer has had at this priority, over its weight. */
  served: number;
}

interface PriorityLevel {
  readonly customers: Map<string, CustomerQueue>;
  /** The least served of the last choices, for customers that come back. */
  virtualTime: number;
}

/**
 * Start-time fair queueing in each priority level: the customer served least,
 * by weight, is next, and of its calls the one with the nearest deadline.
 */
export class FairQueue {
  private readonly levels = new Map<number, PriorityLevel>();
  private readonly byId = new Map<string, WaitingCall>();

  get size(): number {
    return this.byId.size;
  }

  /** All that wait, in no order. */
  all(): readonly WaitingCall[] {
    return [...this.byId.values()];
  }

  /** Calls of one customer that wait. */
  waitingOf(customer: string): number {
    let count = 0;
    for (const level of this.levels.values()) {
      count += level.customers.get(customer)?.calls.length ?? 0;
    }
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
   * Calls that would be served before a new one: all more urgent ones, and of
   * those as urgent no more than fair turns let past.
   */
  aheadOf(call: WaitingCall): number {
    let moreUrgent = 0;
    for (const [priority, {customers}] of this.levels) {
      if (priority < call.priority) {
        customers.forEach(({calls}) => (moreUrgent += calls.length));
      }
    }
    const customers = this.levels.get(call.priority)?.customers;
    const turns = (customers?.get(call.customer)?.calls.length ?? 0) + 1;
    let asUrgent = 0;
    customers?.forEach(({calls}) => {
      const weight = (calls[0]?.weight ?? 1) / call.weight;
      asUrgent += Math.min(calls.length, Math.ceil(turns * weight));
    });
    return moreUrgent + asUrgent;
  }

  add(call: WaitingCall): void {
    const level = this.level(call.priority);
    const queue = level.customers.get(call.customer) ?? {
      calls: [],
      served: level.virtualTime,
    };
    queue.served = Math.max(queue.served, level.virtualTime);
    const later = queue.calls.findIndex(
      ({deadline}) => deadline > call.deadline,
    );
    queue.calls.splice(later < 0 ? queue.calls.length : later, 0, call);
    level.customers.set(call.customer, queue);
    this.byId.set(call.id, call);
  }

  /** Takes the next call out. */
  take(): WaitingCall | undefined {
    const priorities = [...this.levels.keys()].sort((a, b) => a - b);
    for (const priority of priorities) {
      const call = this.takeFrom(this.level(priority));
      if (call !== undefined) {
        this.byId.delete(call.id);
        return call;
      }
    }
    return undefined;
  }

  /** Takes one call out; false when it does not wait here. */
  remove(id: string): boolean {
    const call = this.byId.get(id);
    if (call === undefined) {
      return false;
    }
    this.byId.delete(id);
    const level = this.level(call.priority);
    const queue = level.customers.get(call.customer);
    const index = queue?.calls.findIndex((waiting) => waiting.id === id) ?? -1;
    queue?.calls.splice(index, 1);
    if (queue?.calls.length === 0) {
      level.customers.delete(call.customer);
    }
    return true;
  }

  /** The call a more urgent one may displace: the least urgent, latest due. */
  leastUrgent(): WaitingCall | undefined {
    let found: WaitingCall | undefined;
    for (const call of this.byId.values()) {
      if (found === undefined || isLessUrgent(call, found)) {
        found = call;
      }
    }
    return found;
  }

  /**
   * The call that one of a customer with fewer waiting calls may displace: the
   * latest due of the customer that has most, among no more urgent ones.
   */
  mostCrowding(call: WaitingCall): WaitingCall | undefined {
    const least = (this.waitingOf(call.customer) + 1) / call.weight;
    let most = least;
    let found: WaitingCall | undefined;
    for (const [priority, {customers}] of this.levels) {
      for (const {calls} of customers.values()) {
        const last = calls.at(-1);
        const crowd = calls.length / (last?.weight ?? 1);
        if (priority >= call.priority && crowd > most) {
          most = crowd;
          found = last;
        }
      }
    }
    return found;
  }

  /** Calls whose answer would come too late even if they ran now. */
  overdue(
    now: number,
    needed: (call: WaitingCall) => number,
  ): readonly WaitingCall[] {
    return this.all().filter((call) => isTooLateFor(call, now, needed(call)));
  }

  private level(priority: number): PriorityLevel {
    const found = this.levels.get(priority);
    if (found !== undefined) {
      return found;
    }
    const made: PriorityLevel = {customers: new Map(), virtualTime: 0};
    this.levels.set(priority, made);
    return made;
  }

  private takeFrom(level: PriorityLevel): WaitingCall | undefined {
    let least: [string, CustomerQueue] | undefined;
    for (const candidate of level.customers) {
      if (least === undefined || candidate[1].served < least[1].served) {
        least = candidate;
      }
    }
    if (least === undefined) {
      return undefined;
    }
    const [customer, queue] = least;
    const call = queue.calls.shift() as WaitingCall;
    level.virtualTime = queue.served;
    queue.served += 1 / call.weight;
    if (queue.calls.length === 0) {
      level.customers.delete(customer);
    }
    return call;
  }
}

function isLessUrgent(a: WaitingCall, b: WaitingCall): boolean {
  return (
    a.priority > b.priority ||
    (a.priority === b.priority && a.deadline > b.deadline)
  );
}
