// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The smallest value that a quantity had within a sliding window of time. */

interface Level {
  /** When the quantity took this value, in milliseconds. */
  readonly at: number;
  readonly value: number;
}

/**
 * Keeps only the values that may still become the minimum, in ascending order:
 * an earlier value that is not smaller than a later one never does.
 */
export class SlidingMinimum {
  private levels: readonly Level[];

  /** @param value The value before the first change. */
  constructor(value: number) {
    this.levels = [{at: Number.NEGATIVE_INFINITY, value}];
  }

  /** Number of values that are kept. */
  get size(): number {
    return this.levels.length;
  }

  /** The quantity has this value from now on. */
  changed(now: number, value: number): void {
    const kept = this.levels.filter((level) => level.value < value);
    // The value also stands for the higher ones that it replaces.
    const at = this.levels[kept.length]?.at ?? now;
    this.levels = [...kept, {at, value}];
  }

  /** The smallest value from a time on until now. */
  since(time: number): number {
    const next = this.levels.findIndex(({at}) => at > time);
    const first = next < 0 ? this.levels.length - 1 : Math.max(0, next - 1);
    this.levels = first === 0 ? this.levels : this.levels.slice(first);
    return this.levels[0]?.value ?? 0;
  }

  /** Moves all changes on, so that they keep their age when the clock gains. */
  clockGained(milliseconds: number): void {
    this.levels = this.levels.map(({at, value}) => ({
      at: at + milliseconds,
      value,
    }));
  }
}
