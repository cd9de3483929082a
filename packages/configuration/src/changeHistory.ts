// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The most recent changes, so that a watch can resume where it stopped. */

import type {FoldResult} from './foldChange.js';

/** Changes kept for watches that resume. */
export const HISTORY_LENGTH = 2000;

/** An accepted change with the version that it created. */
export interface HistoryEntry {
  readonly version: number;
  readonly fold: FoldResult;
}

/** Stores accepted changes in the order of their versions. */
export class ChangeHistory {
  private entries: HistoryEntry[] = [];

  /** Starts at the version of a state not folded here, such as a snapshot. */
  constructor(private oldest = 0) {}

  /** A watch from a version below this has missed changes. */
  get oldestResumable(): number {
    return this.oldest;
  }

  add(fold: FoldResult): void {
    if (fold.outcome.kind !== 'accepted' || fold.effects.length === 0) {
      return;
    }
    this.entries.push({version: fold.outcome.version, fold});
    if (this.entries.length > HISTORY_LENGTH) {
      const dropped = this.entries.splice(0, HISTORY_LENGTH / 10);
      this.oldest = dropped.at(-1)?.version ?? this.oldest;
    }
  }

  /** Changes after a version; undefined if some of them were dropped. */
  after(version: number): readonly HistoryEntry[] | undefined {
    if (version < this.oldest) {
      return undefined;
    }
    return this.entries.filter((entry) => entry.version > version);
  }
}
