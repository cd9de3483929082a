// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Tells whoever wants to know of something new. */

/** Functions that are called with each piece of news. */
export class Subscribers<T> {
  private readonly listeners = new Set<(news: T) => void>();

  /** Told of the number of listeners each time that it changes. */
  constructor(
    private readonly onCount: (count: number) => void = () => undefined,
  ) {}

  /** Adds a listener; returns what takes it out again. */
  add(listener: (news: T) => void): () => void {
    this.listeners.add(listener);
    this.onCount(this.listeners.size);
    return () => {
      this.listeners.delete(listener);
      this.onCount(this.listeners.size);
    };
  }

  tell(news: T): void {
    this.listeners.forEach((listener) => listener(news));
  }
}
