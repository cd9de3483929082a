// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Notices that the store was restored to an earlier state. */

import type {Era} from '@lockpin/types';

/** How an answer's era relates to the newest one that this node has seen. */
export type EraFinding =
  /** Nothing was restored since, or the answer does not say. */
  | {readonly kind: 'same'}
  /** The first answer that this process has had. */
  | {readonly kind: 'first'; readonly era: Era}
  /** The first answer after a restore. */
  | {readonly kind: 'restored'; readonly before: Era; readonly era: Era}
  /** It was given before a restore that is known here: nothing follows from it. */
  | {readonly kind: 'outdated'; readonly era: Era};

const SAME: EraFinding = {kind: 'same'};

/** Knows the newest era. */
export class StoreEra {
  private newest: Era | undefined;
  private restores = 0;

  /** Undefined before the store has said it. */
  get current(): Era | undefined {
    return this.newest;
  }

  /** Restores that this process has noticed. */
  get restoreCount(): number {
    return this.restores;
  }

  /** Compares an answer; undefined where none came or it does not say. */
  find(era: Era | undefined): EraFinding {
    const before = this.newest;
    if (era === undefined || era === before) {
      return SAME;
    }
    if (before === undefined) {
      this.newest = era;
      return {kind: 'first', era};
    }
    if (era < before) {
      return {kind: 'outdated', era};
    }
    this.newest = era;
    this.restores += 1;
    return {kind: 'restored', before, era};
  }
}
