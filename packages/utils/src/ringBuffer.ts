// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A fixed-size buffer that overwrites its oldest items. */

/** Keeps the latest items in insertion order, up to a fixed capacity. */
export class RingBuffer<T> {
  private readonly items: T[] = [];
  private next = 0;

  constructor(private readonly capacity: number) {}

  /** Adds an item, overwriting the oldest when full. */
  push(item: T): void {
    this.items[this.next] = item;
    this.next = (this.next + 1) % this.capacity;
  }

  /** Returns the items, oldest first. */
  toArray(): readonly T[] {
    return this.items.length < this.capacity
      ? [...this.items]
      : [...this.items.slice(this.next), ...this.items.slice(0, this.next)];
  }
}
