// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A set of subscribers to messages of one type. */

/** Listeners that are called with each message. */
export class Subscribers<T> {
  private readonly listeners = new Set<(message: T) => void>();

  /** onCount receives the number of listeners each time it changes. */
  constructor(
    private readonly onCount: (count: number) => void = () => undefined,
  ) {}

  /** Adds a listener; returns a function that removes it. */
  add(listener: (message: T) => void): () => void {
    this.listeners.add(listener);
    this.onCount(this.listeners.size);
    return () => {
      this.listeners.delete(listener);
      this.onCount(this.listeners.size);
    };
  }

  notify(message: T): void {
    this.listeners.forEach((listener) => listener(message));
  }
}
