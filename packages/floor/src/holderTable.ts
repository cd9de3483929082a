// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The permit holder of each service, according to the log. */

import {isLaterPosition} from '@lockpin/utils';
import type {Fence, HolderRecord} from './messages.js';

/** The permit holder of a service, with the fencing token from its record. */
export interface Holder {
  readonly box: string;
  readonly incarnation: string;
  /** The box with the latest fence is the holder. */
  readonly fence: Fence;
}

/** Keeps the newest holder record of each service. */
export class HolderTable {
  private readonly holders = new Map<string, Holder>();

  /** Applies a record; records may be repeated or out of order. */
  apply(fence: Fence, record: HolderRecord): boolean {
    const current = this.holders.get(record.service);
    if (current !== undefined && !isLaterPosition(fence, current.fence)) {
      return false;
    }
    const {box, incarnation} = record;
    this.holders.set(record.service, {box, incarnation, fence});
    return true;
  }

  get(service: string): Holder | undefined {
    return this.holders.get(service);
  }

  entries(): IterableIterator<[string, Holder]> {
    return this.holders.entries();
  }
}
