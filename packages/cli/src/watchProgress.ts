// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Tracks the position of a watch so that it resumes without missing events. */

interface WatchEvent {
  readonly type?: string;
  readonly version?: number;
  readonly isEverywhere?: boolean;
}

/** Position of one watch, kept across reconnects. */
export class WatchProgress {
  /** Versions of reported changes not yet known to be in force everywhere. */
  private readonly pending = new Set<number>();
  private lastChangeVersion = Number.NEGATIVE_INFINITY;

  constructor(private lastVersion: number | undefined) {}

  /** The version to resume after; undefined starts at the current version. */
  get resumeAfter(): number | undefined {
    return this.pending.size === 0
      ? this.lastVersion
      : Math.min(...this.pending) - 1;
  }

  /** Records an event; returns false for a change that was already reported. */
  record(event: unknown): boolean {
    const {type, version, isEverywhere} = event as WatchEvent;
    if (version === undefined) {
      return true;
    }
    switch (type) {
      case 'change':
        return this.recordChange(version);
      case 'in-force':
        if (isEverywhere === true) {
          this.pending.delete(version);
        }
        return true;
      case 'bookmark':
        this.lastVersion = version;
        return true;
      default:
        return true;
    }
  }

  private recordChange(version: number): boolean {
    if (version <= this.lastChangeVersion) {
      return false;
    }
    this.lastChangeVersion = version;
    this.lastVersion = version;
    this.pending.add(version);
    return true;
  }
}
