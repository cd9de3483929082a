// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Detects that the store was restored to an earlier state. */

import type {Era} from '@lockpin/types';

/** The era of an answer compared with the newest one seen by this node. */
export type EraComparison =
  /** No restore since, or the answer carries no era. */
  | {readonly kind: 'same'}
  /** The first answer that this process received. */
  | {readonly kind: 'first'; readonly era: Era}
  /** The first answer after a restore. */
  | {readonly kind: 'restored'; readonly before: Era; readonly era: Era}
  /** The answer was given before a known restore and must be ignored. */
  | {readonly kind: 'outdated'; readonly era: Era};

const SAME: EraComparison = {kind: 'same'};

/** Tracks the newest era. */
export class StoreEra {
  private newest: Era | undefined;
  private restores = 0;

  /** Undefined before the first answer that carries an era. */
  get current(): Era | undefined {
    return this.newest;
  }

  /** Restores that this process has detected. */
  get restoreCount(): number {
    return this.restores;
  }

  /**
   * Compares the era of an answer; undefined if none arrived or it carries no
   * era.
   */
  compare(era: Era | undefined): EraComparison {
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
