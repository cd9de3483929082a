// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Tells whoever wants to know of something new. */

/** Functions that are called with each piece of news. */
export class Subscribers<T> {
  private readonly listeners = new Set<(news: T) => void>();

  /** Adds a listener; returns what takes it out again. */
  add(listener: (news: T) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  tell(news: T): void {
    this.listeners.forEach((listener) => listener(news));
  }
}
