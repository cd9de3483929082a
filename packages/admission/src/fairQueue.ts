// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Queue of waiting calls: by priority, then fair between customers. */

/** A call that waits for a slot. */
export interface WaitingCall {
  readonly id: string;
  readonly customer: string;
  /** Weight of the customer relative to others; 1 by default. */
  readonly weight: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time after which its answer is useless, in milliseconds since 1970. */
  readonly deadline: number;
  /**
   * The call is queued only if its answer is expected by then; the deadline
   * when absent.
   */
  readonly usefulUntil?: number;
  /** It is refused rather than started after this; no limit when absent. */
  readonly startBy?: number;
  /** Its expected duration; the average of the upstream when absent. */
  readonly expectedMilliseconds?: number;
  /** False when the call must not be queued; true when absent. */
  readonly mayWait?: boolean;
}

/** The latest time at which the answer to a waiting call may be expected. */
export function latestAnswerTime({deadline, usefulUntil}: WaitingCall): number {
  return Math.min(deadline, usefulUntil ?? deadline);
}

/** Whether it is too late to start a call at a given time. */
export function isTooLateFor(
  call: WaitingCall,
  startAt: number,
  duration: number,
): boolean {
  const {startBy = Number.POSITIVE_INFINITY} = call;
  return startAt > startBy || startAt + duration > latestAnswerTime(call);
}

interface CustomerQueue {
  readonly calls: WaitingCall[];
  /** Calls served to this customer at this priority, divided by its weight. */
  served: number;
}

interface PriorityLevel {
  readonly customers: Map<string, CustomerQueue>;
  /** Service level at which customers join the level or return to it. */
  virtualTime: number;
}

/**
 * Start-time fair queueing in each priority level: the customer with the least
 * weighted service is next, with its call of the nearest deadline.
 */
export class FairQueue {
  private readonly levels = new Map<number, PriorityLevel>();
  private readonly byId = new Map<string, WaitingCall>();

  get size(): number {
    return this.byId.size;
  }

  /** All waiting calls, in no particular order. */
  all(): readonly WaitingCall[] {
    return [...this.byId.values()];
  }

  /** Number of waiting calls of a customer. */
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
   * Number of calls served before a new one: all more urgent ones, and of
   * equally urgent ones as many as fair queueing serves first.
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

  /** Removes and returns the next call. */
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

  /** Removes a call; false if it is not waiting. */
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
    let highest = ownLoad;
    let selected: WaitingCall | undefined;
    for (const [priority, {customers}] of this.levels) {
      for (const {calls} of customers.values()) {
        const last = calls.at(-1);
        const load = calls.length / (last?.weight ?? 1);
        if (priority >= call.priority && load > highest) {
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

  private level(priority: number): PriorityLevel {
    const existing = this.levels.get(priority);
    if (existing !== undefined) {
      return existing;
    }
    const created: PriorityLevel = {customers: new Map(), virtualTime: 0};
    this.levels.set(priority, created);
    return created;
  }

  private takeFrom(level: PriorityLevel): WaitingCall | undefined {
    let lowest: [string, CustomerQueue] | undefined;
    for (const candidate of level.customers) {
      if (lowest === undefined || candidate[1].served < lowest[1].served) {
        lowest = candidate;
      }
    }
    if (lowest === undefined) {
      return undefined;
    }
    const [customer, queue] = lowest;
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
