// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Fair shares of the capacity of an entry for its customers. */

/** Capacity of one entry. */
export interface EntryCapacity {
  /** Calls in flight, of every customer. */
  readonly calls: number;
  /** Bytes of buffered request bodies, of every customer. */
  readonly bytes: number;
}

/** Fits the memory limit of a small process. */
export const DEFAULT_ENTRY_CAPACITY: EntryCapacity = {
  calls: 2000,
  bytes: 64 * 1024 * 1024,
};

/** Share of the capacity above which fair shares are enforced. */
const CONTENTION_THRESHOLD = 0.5;

interface Usage {
  calls: number;
  bytes: number;
}

/** Tracks the usage of each customer and refuses calls over its share. */
export class CustomerShares {
  private readonly usage = new Map<string, Usage>();
  private calls = 0;
  private bytes = 0;

  constructor(private readonly capacity: EntryCapacity) {}

  /** Reserves capacity for a call; false if the customer is over its share. */
  take(customer: string, bytes: number): boolean {
    const used = this.usage.get(customer) ?? {calls: 0, bytes: 0};
    if (!this.fits(used.calls, this.calls, 1, this.capacity.calls)) {
      return false;
    }
    if (!this.fits(used.bytes, this.bytes, bytes, this.capacity.bytes)) {
      return false;
    }
    used.calls += 1;
    used.bytes += bytes;
    this.calls += 1;
    this.bytes += bytes;
    this.usage.set(customer, used);
    return true;
  }

  /** Releases the capacity of a call. */
  release(customer: string, bytes: number): void {
    const used = this.usage.get(customer);
    if (used === undefined) {
      return;
    }
    used.calls -= 1;
    used.bytes -= bytes;
    this.calls -= 1;
    this.bytes -= bytes;
    if (used.calls <= 0) {
      this.usage.delete(customer);
    }
  }

  private fits(
    own: number,
    total: number,
    added: number,
    capacity: number,
  ): boolean {
    if (total + added > capacity) {
      return false;
    }
    if (total + added <= capacity * CONTENTION_THRESHOLD) {
      return true;
    }
    const activeCustomers = Math.max(2, this.usage.size);
    return own + added <= capacity / activeCustomers;
  }
}
